#include "src/membership/instance_row_source.h"

#include "src/membership/instance_row.h"

namespace wagtailhatch {

instance_row_source::instance_row_source(table_service& table, const clock& time, random_source& random)
    : table_{table}
    , time_{time}
    , random_{random}
{
}

void instance_row_source::need(const std::string& service)
{
    services_.try_emplace(service, needed{retry_delay{time_, random_}, {}});
}

void instance_row_source::tick()
{
    std::vector<std::string> due;
    for (auto& [service, n] : services_) {
        if (!n.done && !n.in_flight && n.delay.due()) {
            n.in_flight = true;
            due.push_back(service);
        }
    }
    // Completions may run at once and change the map.
    for (const auto& service : due) {
        table_.list(instance_row_key(service, ""), [this, service, alive = std::weak_ptr{alive_}](
                                                       const result<std::vector<table_row>>& rows) {
            if (!alive.expired()) {
                received(service, rows);
            }
        });
    }
}

void instance_row_source::received(const std::string& service, const result<std::vector<table_row>>& rows)
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return;
    }
    auto& n = found->second;
    n.in_flight = false;
    if (!rows) {
        n.delay.grow();
        return;
    }
    n.done = true;
    n.addresses.clear();
    for (const auto& row : *rows) {
        const auto parsed = parse_instance_row(row.value);
        if (parsed && parsed->state != member_state::left) {
            n.addresses.push_back(parsed->address);
        }
    }
}

const std::vector<peer_address>& instance_row_source::addresses(const std::string& service) const
{
    static const std::vector<peer_address> none;
    const auto found = services_.find(service);
    return found == services_.end() ? none : found->second.addresses;
}

} // namespace wagtailhatch
