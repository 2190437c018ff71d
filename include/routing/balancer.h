#pragma once

#include "include/admission/load_report.h"
#include "include/core/random_source.h"
#include "include/core/refusal_reason.h"
#include "include/core/string_map.h"
#include "include/membership/evacuation.h"
#include "include/membership/member.h"
#include "include/routing/entry_shedder.h"
#include "include/routing/service_load.h"
#include "include/routing/spillover.h"
#include "include/routing/target_view.h"

#include <functional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

struct balancer_options {
    std::string data_centre; ///< Data centre of this node.
    /// Utilisation of the local candidate above which other data centres are considered.
    double spillover_threshold = 0.8;
    bool prefer_own_data_centre = true;
    bool two_choices = true; ///< Power of two choices; if false, one random candidate.
    bool use_reports = true; ///< If false, only this node's outstanding requests count.
    bool ejection = true;
    /// Chooses by estimated load while the service's reports contain a pace (see service_load).
    bool estimate_load = true;
    target_view_options view{};
    spillover_options spill{};
    entry_shedder_options shedding{};
};

struct pick_result {
    const member* target = nullptr;               ///< Valid until the next set_members().
    refusal_reason reason = refusal_reason::none; ///< Why target is nullptr.
};

/// Restrictions of one request on the choice of its target.
struct placement_limits {
    /// Data centres that may be used; nullptr: any.
    const std::set<std::string, std::less<>>* allowed = nullptr;
    /// Data centres that count as evacuated, because a node there has said so.
    std::span<const std::string> evacuated{};
};

/// Attributes of a call's answer besides the load report.
struct answer_info {
    std::string_view route; ///< Entry route of the request.
    /// Call depth: 0 if this node is the entry, greater if its own target made the call.
    std::uint32_t depth = 0;
    call_result result = call_result::answered;
};

/// Load balancer for the instances of one service: chooses an instance for each request by reported load, and
/// tracks how much of the service's traffic downstream services would shed. Not thread-safe.
class balancer {
public:
    balancer(balancer_options options, random_source& random);

    /// Replaces the list of members. The state of members whose id and incarnation are unchanged is kept.
    void set_members(std::span<const member> members);

    /// Sets the data centres whose targets get no request, or a smaller share while the load is shifted.
    void set_evacuated(std::span<const evacuated_data_centre> evacuated);

    /// Chooses a target; pick_result::reason tells why there is none. exclude: ids of members to which this
    /// request was already sent.
    pick_result pick(steady_time now, std::span<const std::string> exclude = {},
                     const placement_limits& limits = {});
    pick_result pick(steady_time now, const request_profile& request,
                     std::span<const std::string> exclude = {}, const placement_limits& limits = {});

    void on_sent(std::string_view id, steady_time now);

    /// Records an answer of the target, or a refusal by its node.
    void on_answer(std::string_view id, const load_report& report, const answer_info& info, steady_time now);

    /// Records an attempt without an answer. Such first-hand evidence takes precedence over reports of
    /// others.
    void on_failure(std::string_view id, attempt_failure failure, steady_time now);

    /// Records a load report that was not part of an answer.
    void on_report(std::string_view id, const load_report& report, steady_time now);

    /// Returns the rate limit, in requests per second, that the target with this id last reported; 0: none
    /// known. It is also known while the target's node restarts, which forgets it.
    double known_rate_limit(std::string_view id, steady_time now) const;

    /// Admission level of this service and of its downstream services on the route for the calls of a chain,
    /// by the class of the calls. Old reports expire.
    admit_level pressure(std::string_view route, steady_time now) const;

    /// Admission level of requests that enter here, by the class of the requests: of this service, and of the
    /// calls that the requests cause in downstream services.
    admit_level entry_pressure(std::string_view route, steady_time now) const;

    /// pressure() if this node's own target calls the service on that route; otherwise everything. calls:
    /// further limit of the calls that this node's own target makes to the service on the route. A node
    /// reports the minimum over the services that its target calls as load_report::path of its answers on
    /// that route. Calls that this node makes as an entry do not count: they would feed the pressure of a
    /// service back into its own answers, so that it would never expire.
    admit_level path_pressure(std::string_view route, steady_time now, admit_level calls = {}) const;

    /// Returns whether the entry should refuse a request immediately because a downstream service would shed
    /// it. Call it once per request and only at the entry (depth 0): every further check would shed again.
    bool should_shed(std::string_view route, importance level, std::string_view workspace, steady_time now);

    /// Relative share of a workspace in should_shed(), 1 by default.
    void set_weight(std::string_view workspace, double weight) { shedder_.set_weight(workspace, weight); }

    /// Number of members that are ready, have not answered that they are leaving, and are not ejected.
    std::size_t usable(steady_time now, const placement_limits& limits = {});

    /// Estimated load of the service's targets, at most some milliseconds old; nullptr while no usable report
    /// contains a pace.
    const service_load* estimated_load(steady_time now);

    /// Share of this node's requests to the service that goes to other data centres while estimated_load() is
    /// known.
    double leaving_share() const { return spillover_.leaving(); }

    /// Whether a target other than this one is believed to have a free slot.
    bool has_room_beside(std::string_view id, steady_time now);

private:
    struct entry {
        member info;
        target_view view;
    };
    struct rate_limit_state {
        double per_second = 0;
        steady_time reported{};
    };
    struct path_state {
        admit_level level;
        steady_time updated{};
        bool called_by_own_target = false;
    };

    entry* choose_or_use_ejected(steady_time now, const request_profile& request,
                                 std::span<const std::string> exclude);
    /// Whether the member's data centre is evacuated for the request that is being placed.
    bool evacuated(const entry& e, steady_time now) const;
    /// Whether the request that is being placed may run in the member's data centre.
    bool allowed(const entry& e) const;
    refusal_reason reason_without_target(steady_time now) const;
    bool may_use(const entry& e, steady_time now, std::span<const std::string> exclude,
                 bool ignore_ejection) const;
    entry* choose(const std::vector<std::uint32_t>& from, steady_time now,
                  std::span<const std::string> exclude, bool ignore_ejection);
    entry* choose_random(const std::vector<std::uint32_t>& from, steady_time now,
                         std::span<const std::string> exclude, bool ignore_ejection);
    entry* scan(const std::vector<std::uint32_t>& from, steady_time now, std::span<const std::string> exclude,
                bool ignore_ejection);
    entry* choose_across_data_centres(steady_time now, std::span<const std::string> exclude,
                                      bool ignore_ejection);
    entry* choose_by_load(steady_time now, const request_profile& request,
                          std::span<const std::string> exclude);
    std::size_t choose_data_centre(const service_load& load, bool again);
    void update_load(steady_time now);
    void update_data_centres();
    entry* find(std::string_view id);
    void record_rate_limit(std::string_view id, double per_second, call_result result, steady_time now);
    bool may_eject(steady_time now) const;
    double score(const entry& e, steady_time now) const;
    void update_own_pressure(steady_time now) const;
    admit_level own_pressure(steady_time now) const;
    admit_level own_call_pressure(steady_time now) const;

    balancer_options options_;
    random_source& random_;
    std::vector<entry> entries_;
    string_map<std::uint32_t> by_id_;
    std::vector<std::uint32_t> local_indices_;
    std::vector<std::uint32_t> remote_indices_;
    string_map<path_state> paths_;
    string_map<rate_limit_state> rate_limits_; ///< By target id.
    entry_shedder shedder_;
    std::vector<evacuated_data_centre> evacuated_;
    placement_limits limits_; ///< Of the request in pick(); none outside of it.
    /// Position of the request in the shift of load: data centres with a higher share are avoided. 1 outside
    /// of pick(): only those that are evacuated completely count.
    double shift_position_ = 1;
    mutable admit_level own_pressure_;      ///< Cached; computed at pressure_time_.
    mutable admit_level own_call_pressure_; ///< For calls of chains; cached as own_pressure_.
    mutable steady_time pressure_time_{};
    service_load load_;
    spillover spillover_;
    std::vector<std::uint32_t> data_centre_of_; ///< Index in spillover_ of each entry's data centre.
    steady_time load_time_{};                   ///< Time at which load_ was computed.
    steady_time last_pace_{};                   ///< Time of the last report that contained a pace.
};

} // namespace wagtailhatch
