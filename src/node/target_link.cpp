#include "src/node/target_link.h"

#include <nlohmann/json.hpp>

namespace wagtailhatch {
namespace {

constexpr duration announcement_lifetime = std::chrono::seconds{10};
constexpr std::size_t max_announcement = 4096;

bool is_loopback(const std::string& address)
{
    return address.rfind("127.", 0) == 0 || address.rfind("[::1]:", 0) == 0;
}

} // namespace

result<target_announcement> parse_announcement(std::string_view json)
{
    if (json.size() > max_announcement) {
        return make_error(errc::malformed, "announcement is too long");
    }
    const auto parsed = nlohmann::json::parse(json, nullptr, false);
    if (!parsed.is_object()) {
        return make_error(errc::malformed, "announcement is not a JSON object");
    }
    const auto text = [&](const char* field) {
        const auto found = parsed.find(field);
        return found != parsed.end() && found->is_string() ? found->get<std::string>() : std::string{};
    };
    target_announcement a;
    a.service = text("service");
    a.address = text("address");
    const auto state = text("state");
    if (a.service.empty()) {
        return make_error(errc::malformed, "field 'service'");
    }
    if (!is_loopback(a.address)) {
        return make_error(errc::malformed, "field 'address' is not a loopback address");
    }
    if (state != "ready" && state != "draining") {
        return make_error(errc::malformed, "field 'state' is neither ready nor draining");
    }
    a.draining = state == "draining";
    const auto slots = parsed.find("slots");
    if (slots != parsed.end() && slots->is_number_unsigned()) {
        a.slots = slots->get<std::uint32_t>();
    }
    return a;
}

result<target_link::change> target_link::announce(const target_announcement& a, steady_time now)
{
    if (a.service != service_) {
        return make_error(errc::invalid_argument,
                          "target of service '" + a.service + "' beside a node of '" + service_ + "'");
    }
    change c;
    c.restarted = state_ != link_state::absent && a.address != address_;
    const auto next = a.draining ? link_state::draining : link_state::ready;
    c.became_ready = next == link_state::ready && (state_ != link_state::ready || c.restarted);
    c.became_draining = next == link_state::draining && state_ != link_state::draining;
    state_ = next;
    address_ = a.address;
    last_ = now;
    return c;
}

void target_link::on_refused()
{
    state_ = link_state::absent;
}

bool target_link::expire(steady_time now)
{
    if (state_ == link_state::absent || now - last_ < announcement_lifetime) {
        return false;
    }
    state_ = link_state::absent;
    return true;
}

} // namespace wagtailhatch
