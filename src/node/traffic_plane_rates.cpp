#include "include/observe/logging.h"
#include "include/quota/allocator_candidates.h"
#include "src/node/traffic_plane.h"

#include <utility>
#include <vector>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

// A node notices at its next sweep that it no longer hears a peer, and the event loop may be late.
constexpr duration takeover_margin = 500ms;

} // namespace

void traffic_plane::on_fleet_read()
{
    fleet_known_ = true;
}

void traffic_plane::check_rate_allocation()
{
    const fleet_knowledge known{config_.content != nullptr, fleet_known_, mesh_.contact_count(),
                                mesh_.link_count(), time_.now() - started_};
    const bool allocates = may_allocate_rates(known);
    if (std::exchange(allocates_rates_, allocates) != allocates) {
        mesh_.publish_status();
    }
    update_rate_allocators();
    log_rate_allocators();
    router_.sweep();
}

std::vector<peer_presence> traffic_plane::peer_presences() const
{
    std::vector<peer_presence> out;
    for (const auto& contact : mesh_.contacts()) {
        peer_presence p{contact.address, contact.linked, contact.suspect, contact.refused, false, false, 0};
        if (const auto found = peers_.find(contact.address); found != peers_.end() && contact.linked) {
            p.allocates = found->second.allocates_rates;
            p.incarnation = found->second.self.incarnation;
            p.leaving = found->second.self.state == member_state::leaving;
            p.suspect = p.suspect || found->second.misses_receiver;
        }
        out.push_back(std::move(p));
    }
    return out;
}

void traffic_plane::update_rate_allocators()
{
    fleet_view_options options;
    options.takeover_delay = mesh_.suspect_time() + takeover_margin;
    fleet_view_.set_self(allocates_rates_, self().state == member_state::leaving);
    fleet_view_.update(peer_presences(), options, time_.now());
    auto nodes = fleet_view_.allocators();
    const double fraction = fleet_view_.reachable_fraction();
    if (fleet_view_.allocator_known() && !std::exchange(rates_known_, true)) {
        events_.rates_known();
    }
    if (nodes == rate_allocators_ && fraction == reachable_fraction_) {
        return;
    }
    rate_allocators_ = std::move(nodes);
    reachable_fraction_ = fraction;
    router_.set_rate_allocators(rate_allocators_, reachable_fraction_);
    rate_allocators_logged_ = false;
}

void traffic_plane::log_rate_allocators()
{
    if (!std::exchange(rate_allocators_logged_, true)) {
        log(log_level::info, "rate allocators",
            {{"nodes", rate_allocators_.size()},
             {"allocates", allocates_rates_},
             {"reached", reachable_fraction_},
             {"contacts", mesh_.contact_count()}});
    }
}

} // namespace wagtailhatch
