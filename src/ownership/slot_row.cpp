#include "include/ownership/slot_ownership.h"

#include <nlohmann/json.hpp>

namespace wagtailhatch {

namespace {

nlohmann::json to_json(const node_ref& n)
{
    return {{"id", n.id}, {"incarnation", n.incarnation}, {"address", n.address}};
}

node_ref to_node(const nlohmann::json& j)
{
    return {j.at("id").get<std::string>(), j.at("incarnation").get<std::uint64_t>(),
            j.at("address").get<std::string>()};
}

} // namespace

std::string encode_row(const slot_row& row)
{
    return nlohmann::json{{"slots", row.slots},
                          {"epoch", row.epoch},
                          {"owner", to_json(row.owner)},
                          {"partner", to_json(row.partner)},
                          {"history_lost", row.history_lost}}
        .dump();
}

result<slot_row> decode_row(const std::string& text)
{
    try {
        const auto j = nlohmann::json::parse(text);
        return slot_row{j.at("slots").get<std::uint32_t>(), j.at("epoch").get<std::uint64_t>(),
                        to_node(j.at("owner")), to_node(j.at("partner")), j.at("history_lost").get<bool>()};
    }
    catch (const nlohmann::json::exception& e) {
        return make_error(errc::malformed, std::string{"slot row: "} + e.what());
    }
}

} // namespace wagtailhatch
