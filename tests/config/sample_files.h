#pragma once

#include "include/config/config_state.h"

#include <string>

namespace wagtailhatch::testing {

inline const std::string sample_base = R"(made_on: 0
slots_per_data_centre: 8
retry_tokens: 1
run_once_memory: 24h
max_staleness: 0s
data_centres:
  north: {weight: 1}
  south: {weight: 2, lost: false}
services:
  front: {calls: [store], slots: 4, connections: 20}
  store:
workspaces:
  cafe:
    rate: 10.5
    burst: 20
    home: north
    keys:
      - sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
      - sha256: bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb
        withdrawn: true
  deli: {rate: 5, burst: 10}
routes:
  look-up: {path: /labels, method: GET, service: front, importance: high, timeout: 250ms}
  print: {path: /labels/print, method: POST, service: front, importance: critical, run_once: true}
  public: {path: /public, service: store, open: true, max_body: 64KiB}
)";

inline const std::string sample_overlay = R"(data_centre: north
max_staleness: 30s
services:
  front: {slots: 6}
routes:
  look-up: {timeout: 300ms}
)";

/// A chain of versions of a base file, each with another number of retry tokens.
inline std::string base_with_tokens(unsigned tokens)
{
    auto text = sample_base;
    const std::string field = "retry_tokens: 1";
    return text.replace(text.find(field), field.size(), "retry_tokens: " + std::to_string(tokens));
}

} // namespace wagtailhatch::testing
