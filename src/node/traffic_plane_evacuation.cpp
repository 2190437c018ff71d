#include "include/observe/logging.h"
#include "src/node/traffic_plane.h"

namespace wagtailhatch {

void traffic_plane::on_peer_evacuation(const node_status& status)
{
    if (!status.evacuation) {
        return;
    }
    const bool outdated = evacuation_.outdated(*status.evacuation);
    const auto change =
        evacuation_.merge_from_peer(*status.evacuation, config_.content == nullptr, time_.now());
    apply_evacuation(change, status.self.address);
    if (outdated && status.evacuation->data_centres != evacuation_.known().data_centres) {
        // The peer may be unable to reach the store, and its version is out of date.
        mesh_.schedule_publish();
    }
}

void traffic_plane::set_evacuation(const evacuation_set& set)
{
    apply_evacuation(evacuation_.merge(set, config_.content == nullptr, time_.now()), "store");
}

void traffic_plane::apply_evacuation(const evacuation_change& change, std::string_view source)
{
    const auto& known = evacuation_.known();
    for (const auto& name : change.begun) {
        log(log_level::warning, "evacuation begins",
            {{"data_centre", name},
             {"row_version", known.data_centres.at(name)},
             {"era", known.era},
             {"version", known.version},
             {"source", source}});
    }
    for (const auto& name : change.ended) {
        log(log_level::warning, "evacuation ends",
            {{"data_centre", name}, {"era", known.era}, {"version", known.version}, {"source", source}});
        if (name == settings_.data_centre) {
            // The target may have turned cold while it got few or no requests.
            target_dispatcher_.expect_cold_start();
        }
    }
    if (!change.any()) {
        return;
    }
    router_.set_evacuated(evacuation_.evacuated());
    enforce_evacuation();
    mesh_.publish_status();
}

void traffic_plane::end_held_evacuations()
{
    apply_evacuation(evacuation_.end_held(time_.now()), "row lost by the store");
}

void traffic_plane::enforce_evacuation()
{
    target_dispatcher_.set_evacuated(evacuation_.complete(settings_.data_centre, time_.now()));
}

} // namespace wagtailhatch
