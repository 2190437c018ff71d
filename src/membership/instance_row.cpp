#include "src/membership/instance_row.h"

#include "src/peer/endpoint.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace wagtailhatch {

std::string instance_row_key(const std::string& service, const std::string& id)
{
    return "instance/" + service + "/" + id;
}

std::string encode_instance_row(const instance_row& row)
{
    const nlohmann::json json{{"address", row.address},
                              {"data_centre", row.data_centre},
                              {"incarnation", row.incarnation},
                              {"state", to_string(row.state)},
                              {"process", row.process}};
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<instance_row> parse_instance_row(const std::string& text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return make_error(errc::malformed, "instance row");
    }
    const auto string_at = [&json](const char* name) {
        const auto found = json.find(name);
        return found != json.end() && found->is_string() ? found->get<std::string>() : std::string{};
    };
    const auto number_at = [&json](const char* name) -> std::uint64_t {
        const auto found = json.find(name);
        return found != json.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
    };
    instance_row row;
    row.address = string_at("address");
    row.data_centre = string_at("data_centre");
    row.incarnation = number_at("incarnation");
    row.process = number_at("process");
    const auto state = std::find(member_state_names.begin(), member_state_names.end(), string_at("state"));
    if (!parse_peer_address(row.address) || row.incarnation == 0 || state == member_state_names.end()) {
        return make_error(errc::malformed, "instance row");
    }
    row.state = static_cast<member_state>(state - member_state_names.begin());
    return row;
}

} // namespace wagtailhatch
