#pragma once

#include "include/core/result.h"
#include "include/membership/member.h"

#include <cstdint>
#include <string>

namespace wagtailhatch {

/// What the platform's table holds of an instance.
struct instance_row {
    peer_address address;
    std::string data_centre;
    std::uint64_t incarnation = 0;
    member_state state = member_state::joining;
    std::uint64_t process = 0; ///< Random number of the process that wrote it; tells own writes from others'.
};

/// Key of the row, "instance/<service>/<id>".
std::string instance_row_key(const std::string& service, const std::string& id);

std::string encode_instance_row(const instance_row& row);

/// Error: errc::malformed.
result<instance_row> parse_instance_row(const std::string& text);

} // namespace wagtailhatch
