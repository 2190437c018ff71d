#pragma once

#include "include/admission/crash_quarantine.h"
#include "include/core/result.h"

#include <cstdint>
#include <string>

namespace wagtailhatch {

/// News between the nodes of one service (channel `group`): a death of a target, or fingerprints that
/// finished and are cleared.
struct quarantine_message {
    enum class kind : std::uint8_t { death, cleared };
    kind what = kind::death;
    death_report report; ///< For cleared, only the fingerprints count.
};

std::string encode(const quarantine_message& message);
result<quarantine_message> decode_quarantine_message(const std::string& bytes);

} // namespace wagtailhatch
