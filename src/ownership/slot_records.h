#pragma once

#include "include/quota/share_gate.h"
#include "include/quota/token_mint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace wagtailhatch {

/// First byte of each record that an owner copies to its partner.
enum class record_type : std::uint8_t { claim = 1, mint, gate, moved, mints_lost };

std::string tagged(record_type type, std::string_view body);
record_type type_of(std::string_view record);

std::string encode_mint(const std::string& workspace, const mint_copy& copy);
std::optional<std::pair<std::string, mint_copy>> decode_mint(std::string_view body);

std::string encode_gate(const share_gate::record& record);
std::optional<share_gate::record> decode_gate(std::string_view body);

std::string encode_moved(const std::string& workspace, duration age);
std::optional<std::pair<std::string, duration>> decode_moved(std::string_view body);

std::string encode_age(duration age);
std::optional<duration> decode_age(std::string_view body);

} // namespace wagtailhatch
