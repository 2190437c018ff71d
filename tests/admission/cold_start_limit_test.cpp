#include "include/admission/admission_controller.h"
#include "include/admission/cold_start_limit.h"
#include "include/membership/target_tracker.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <vector>

using namespace wagtailhatch;
using namespace std::chrono_literals;

namespace {

const steady_time begin{1h};

cold_start_limit make_limit(double rate, duration cold_duration = 4s)
{
    cold_start_limit limit;
    limit.configure({rate, cold_duration, 1.5, 8});
    return limit;
}

} // namespace

// Guards against a limit in deployments that configure none.
TEST_CASE("without a cold rate nothing is limited")
{
    auto limit = make_limit(0);
    limit.on_new_target(begin);
    limit.on_report(begin + 10s, begin, begin);
    for (int i = 0; i < 1000; ++i) {
        limit.on_start(begin);
    }
    CHECK_FALSE(limit.cold(begin));
    CHECK_FALSE(limit.rate(begin));
    CHECK(limit.time_until_room(begin) == duration{});
}

// Guards against a cold target that gets its usual load because the node knows nothing about it: after the
// node's restart or an evacuation.
TEST_CASE("a target of unknown state counts as cold until it reports or its cold start would have ended")
{
    auto limit = make_limit(20);
    limit.on_new_target(begin);
    CHECK(limit.cold(begin + 3900ms));
    CHECK_FALSE(limit.cold(begin + 4s));
    SECTION("a report that it is warm ends the assumption at once and without a ramp")
    {
        limit.on_report(begin + 10ms, begin + 10ms, begin + 20ms);
        CHECK_FALSE(limit.cold(begin + 20ms));
        CHECK_FALSE(limit.rate(begin + 20ms));
    }
    SECTION("a report received before the uncertainty began proves nothing, a later one counts")
    {
        limit.on_report(begin, begin, begin);
        limit.expect_cold_start(begin + 1s);
        limit.on_report(begin + 900ms, begin + 900ms, begin + 1100ms);
        CHECK(limit.cold(begin + 1100ms));
        CHECK(limit.cold(begin + 4900ms));
        limit.on_report(begin + 1200ms, begin + 1200ms, begin + 1200ms);
        CHECK_FALSE(limit.cold(begin + 1200ms));
    }
    SECTION("without a configured duration the assumption ends as well")
    {
        auto unknown = make_limit(20, {});
        unknown.on_new_target(begin);
        CHECK(unknown.cold(begin + 1s));
        CHECK_FALSE(unknown.cold(begin + 1min));
    }
}

// Guards against a jump of the load at the end of a cold start, and against a limit that never ends.
TEST_CASE("after a reported cold start the rate rises in small steps until there is no limit")
{
    auto limit = make_limit(20);
    limit.on_report(begin + 2s, begin, begin);
    CHECK(limit.rate(begin + 1999ms) == 20.0);
    double last = 20;
    bool ended = false;
    for (auto t = begin + 2s; t < begin + 10s; t += 100ms) {
        const auto rate = limit.rate(t);
        ended = ended || !rate;
        if (rate) {
            CHECK_FALSE(ended);
            CHECK(*rate >= last);
            CHECK(*rate <= last * 1.11);
            last = *rate;
        }
    }
    CHECK(ended);
    CHECK(last > 20 * 50);
}

// Guards against a ramp that is skipped when the target reports an earlier end than it announced.
TEST_CASE("a cold start that ends before its announced time is followed by the ramp as well")
{
    auto limit = make_limit(20);
    limit.on_report(begin + 9s, begin, begin);
    limit.on_report(begin + 1s, begin + 1s, begin + 1s);
    CHECK_FALSE(limit.cold(begin + 1s));
    CHECK(limit.rate(begin + 1s).value_or(1000) < 25);
    limit.on_report(begin + 1500ms, begin + 1500ms, begin + 1500ms);
    CHECK(limit.rate(begin + 1500ms).value_or(1000) < 40);
}

// A warm target with many requests just sent turns cold. Guards against the further requests that a limit
// without memory would admit in the same second.
TEST_CASE("requests sent before the target turned cold count towards its bound")
{
    auto limit = make_limit(20); // At most 38 requests in a second.
    for (int i = 0; i < 37; ++i) {
        limit.on_start(begin);
    }
    limit.on_report(begin + 5s, begin + 100ms, begin + 100ms);
    CHECK(limit.time_until_room(begin + 100ms) == duration{});
    limit.on_start(begin + 100ms);
    CHECK(limit.time_until_room(begin + 100ms) >= 900ms);
    CHECK(limit.time_until_room(begin + 900ms) > duration{});
    CHECK(limit.time_until_room(begin + 1200ms) == duration{});
}

// Guards against requests that are forgotten because the configuration arrives after them, as at a node's
// start.
TEST_CASE("requests sent before the configuration is known count towards the bound")
{
    cold_start_limit limit;
    limit.on_new_target(begin);
    for (int i = 0; i < 100; ++i) {
        limit.on_start(begin);
    }
    limit.configure({20, 4s, 1.5, 8});
    CHECK(limit.cold(begin));
    CHECK(limit.time_until_room(begin) > 900ms);
}

namespace {

constexpr duration model_tick = 5ms;
constexpr duration cold_bound_window = 1s;
constexpr std::uint32_t model_slots = 100;

/// One target and its node. The target starts again, or turns cold while it runs; its announcements are late
/// or lost; the node restarts. Requests arrive in bursts.
class cold_target_model {
public:
    explicit cold_target_model(std::uint32_t seed)
        : random_{seed}
        , rate_{static_cast<double>(below(100)) + 1}
        , cold_duration_{2s + std::chrono::milliseconds{below(3000)}}
    {
        start_node();
        start_incarnation();
    }

    /// Runs the model. Returns false if a second has exceeded the bound.
    bool run(duration length)
    {
        const auto end = now_ + length;
        for (; now_ < end && kept_; now_ += model_tick) {
            change_target();
            deliver();
            change_node();
            if (node_up()) {
                submit();
            }
        }
        return kept_;
    }

    std::size_t starts() const { return starts_; }
    std::size_t starts_while_cold() const { return starts_while_cold_; }

private:
    struct message {
        target_announcement body;
        steady_time arrives{};
        steady_time sent{};
    };
    struct arrival {
        steady_time at{};
        bool known_cold = false; ///< The node knew that the target was cold.
    };

    std::uint32_t below(std::uint32_t bound)
    {
        return std::uniform_int_distribution<std::uint32_t>{0, bound - 1}(random_);
    }
    bool chance(std::uint32_t per_10_000) { return below(10'000) < per_10_000; }
    bool node_up() const { return now_ >= node_up_; }
    bool target_up() const { return now_ >= target_up_; }
    bool cold() const { return now_ < cold_until_; }

    void start_node()
    {
        tracker_.emplace("labels", "10.0.0.1:80", now_);
        admission_options options;
        options.limit = limit_options_for_slots(model_slots);
        admission_.emplace(options);
        admission_->cold_start().configure({rate_, cold_duration_, 1.5, 8});
        target_ = {};
        running_.clear();
    }

    void start_incarnation()
    {
        ++incarnation_;
        sequence_ = 0;
        arrivals_.clear();
        turn_cold();
    }

    void turn_cold()
    {
        cold_since_ = now_;
        cold_until_ = now_ + cold_duration_;
        informed_ = false;
        // A node's process knows nothing of what its predecessor sent before this cold start.
        std::erase_if(arrivals_, [&](const arrival& a) { return a.at < node_restarted_; });
        announce();
    }

    std::optional<duration> cold_left()
    {
        if (chance(1000)) {
            return std::nullopt;
        }
        return std::max(cold_until_ - now_, duration{});
    }

    target_announcement announcement()
    {
        return {"t" + std::to_string(incarnation_),
                "labels",
                "10.0.0.1:80",
                "north",
                model_slots,
                false,
                cold_left(),
                ++sequence_,
                incarnation_};
    }

    void announce()
    {
        announced_ = now_;
        const auto body = announcement();
        if (node_up() && !chance(3000)) {
            const auto delay = std::chrono::milliseconds{chance(5000) ? below(800) : below(10)};
            messages_.push_back({body, now_ + delay, now_});
        }
    }

    void change_target()
    {
        if (!target_up()) {
            return;
        }
        if (restarting_) {
            restarting_ = false;
            start_incarnation();
        }
        else if (chance(10)) {
            target_up_ = now_ + std::chrono::milliseconds{below(2000)};
            restarting_ = true;
        }
        else if (chance(15)) {
            turn_cold();
        }
        else if (now_ - announced_ >= 1500ms) {
            announce();
        }
    }

    void apply_target(steady_time sent)
    {
        const auto& state = tracker_->state();
        auto& limit = admission_->cold_start();
        if (state.id != target_.id) {
            limit.on_new_target(now_);
        }
        else if (down_ && state.cold_reported == target_.cold_reported) {
            limit.expect_cold_start(now_);
        }
        if (state.cold_reported != steady_time{}) {
            limit.on_report(state.cold_until, state.cold_reported, now_);
        }
        const bool told = state.cold_reported == now_;
        const bool first_cold_start = state.id != target_.id;
        informed_ = informed_ || ((told || first_cold_start) && sent >= cold_since_);
        target_ = state;
        down_ = false;
        admission_->set_state(admission_state::ready, now_);
    }

    void deliver()
    {
        std::vector<message> due;
        std::erase_if(messages_, [&](const message& m) {
            if (m.arrives <= now_) {
                due.push_back(m);
            }
            return m.arrives <= now_;
        });
        for (const auto& m : due) {
            if (node_up() && tracker_->on_announcement(m.body, now_) == announcement_result::applied) {
                apply_target(m.sent);
            }
        }
    }

    void change_node()
    {
        if (node_up() && chance(10)) {
            // Connections to the process end with it, and with them the announcements under way.
            messages_.clear();
            node_restarted_ = now_;
            node_up_ = now_ + std::chrono::milliseconds{below(1500)};
            start_node();
            informed_ = false;
            // The new process cannot know what the previous one sent to a target that it took for warm.
            std::erase_if(arrivals_, [](const arrival& a) { return !a.known_cold; });
        }
        else if (node_up() && (target_.id.empty() || tracker_->has_unconfirmed(now_)) && target_up() &&
                 !restarting_) {
            tracker_->on_probe("t" + std::to_string(incarnation_), model_slots,
                               chance(3000) ? std::nullopt : cold_left(), now_);
            apply_target(now_);
        }
        else if (node_up() && chance(5)) {
            admission_->cold_start().expect_cold_start(now_);
        }
    }

    void submit()
    {
        while (!running_.empty() && running_.front().second <= now_) {
            admission_->finish(running_.front().first, 20ms, true, now_);
            running_.pop_front();
        }
        const auto count = chance(200) ? below(300) : below(4);
        for (std::uint32_t i = 0; i < count; ++i) {
            const auto id = ++last_id_;
            if (admission_->submit({id, importance::normal, "w", now_ + 500ms}, now_).what ==
                admission_decision::kind::start) {
                start(id);
            }
        }
        for (const auto id : admission_->poll(now_).start) {
            start(id);
        }
    }

    void start(std::uint64_t id)
    {
        ++starts_;
        running_.emplace_back(id, now_ + 20ms);
        if (!target_up()) {
            if (!std::exchange(down_, true)) {
                admission_->cold_start().expect_cold_start(now_);
                admission_->set_state(admission_state::down, now_);
            }
            return;
        }
        if (target_.id != "t" + std::to_string(incarnation_)) {
            return; // Answered with 421.
        }
        arrivals_.push_back({now_, cold() && informed_});
        std::erase_if(arrivals_, [&](const arrival& a) { return now_ - a.at >= cold_bound_window; });
        starts_while_cold_ += cold() ? 1 : 0;
        if (cold() && informed_ && static_cast<double>(arrivals_.size()) > rate_ * 1.5 + 8) {
            kept_ = false;
        }
    }

    std::mt19937 random_;
    double rate_;
    duration cold_duration_;
    steady_time now_ = begin;
    std::optional<target_tracker> tracker_;
    std::optional<admission_controller> admission_;
    target_state target_; ///< As applied by the node.
    bool down_ = false;
    steady_time node_up_{};
    steady_time node_restarted_{};
    steady_time target_up_{};
    bool restarting_ = false;
    std::uint64_t incarnation_ = 0;
    std::uint64_t sequence_ = 0;
    steady_time cold_since_{};
    steady_time cold_until_{};
    steady_time announced_{};
    bool informed_ = false; ///< The node got a message that was sent since the target has been cold.
    std::vector<message> messages_;
    std::deque<std::pair<std::uint64_t, steady_time>> running_;
    std::vector<arrival> arrivals_;
    std::uint64_t last_id_ = 0;
    std::size_t starts_ = 0;
    std::size_t starts_while_cold_ = 0;
    bool kept_ = true;
};

} // namespace

// Guards against a cold target that gets more requests in a sliding second than it bears, whatever is late,
// lost or restarted.
TEST_CASE("no second of a cold target exceeds the bound")
{
    std::size_t starts = 0;
    std::size_t cold = 0;
    rc::prop("late and lost announcements, restarts, bursts", [&] {
        cold_target_model model{*rc::gen::arbitrary<std::uint32_t>()};
        RC_ASSERT(model.run(20s));
        starts += model.starts();
        cold += model.starts_while_cold();
    });
    // The model must exercise both states.
    CHECK(cold > 1000);
    CHECK(starts > cold + 1000);
}

namespace {

admission_controller make_cold_controller(double rate)
{
    admission_options options;
    options.limit = limit_options_for_slots(36);
    admission_controller controller{options};
    controller.cold_start().configure({rate, 4s, 1.5, 8});
    controller.cold_start().on_new_target(begin);
    controller.set_state(admission_state::ready, begin);
    return controller;
}

} // namespace

// Every caller returns at once to a target that has just started. Guards against a report that shows the
// target as idle while nothing has been measured, and against the excess being admitted by order of arrival.
TEST_CASE("in the first 100 ms of a cold start the excess is refused, least important first")
{
    auto controller = make_cold_controller(40);
    CHECK(controller.load(begin).limit < 10);
    CHECK(controller.load(begin).rate_limit == 40.0);
    CHECK(controller.capacity() == 40.0);
    std::vector<std::uint64_t> started;
    std::size_t refused_normal = 0;
    std::uint64_t id = 0;
    const auto critical = [](std::uint64_t i) { return i % 100 == 0; }; // 40 per second, all that fits.
    for (auto now = begin; now < begin + 100ms; now += 1ms) {
        for (int i = 0; i < 4; ++i, ++id) {
            const auto level = critical(id) ? importance::critical : importance::normal;
            const auto decision = controller.submit({id, level, "w", now + 1s}, now);
            if (decision.what == admission_decision::kind::start) {
                started.push_back(id);
            }
            if (decision.what == admission_decision::kind::refused) {
                CHECK(level == importance::normal);
                CHECK(decision.retry_after > duration{});
                ++refused_normal;
            }
        }
        const auto& events = controller.poll(now);
        started.insert(started.end(), events.start.begin(), events.start.end());
    }
    CHECK(started.size() >= 3);
    CHECK(std::all_of(started.begin(), started.end(), critical));
    CHECK(refused_normal > 300);
    CHECK_FALSE(controller.load(begin + 100ms).own.all());
}

// Guards against a limit that ends, or a joined rate that is lost, when the target names a rate while it is
// cold.
TEST_CASE("the lower of the named rate and the cold rate is enforced")
{
    auto controller = make_cold_controller(40);
    controller.set_rate_limit(10.0, begin);
    CHECK(controller.load(begin).rate_limit == 10.0);
    CHECK(controller.named_rate_limit() == 10.0);
    controller.set_rate_limit(100.0, begin);
    CHECK(controller.load(begin).rate_limit == 40.0);
    controller.set_rate_limit({}, begin);
    CHECK(controller.load(begin).rate_limit == 40.0);
    CHECK(controller.named_rate_limit() == 0);
}

// Guards against requests that wait for a cold target for most of their time and are refused in the end.
TEST_CASE("a request waits for a cold target for at most an eighth of its time")
{
    auto controller = make_cold_controller(40);
    CHECK(controller.submit({1, importance::normal, "w", begin + 220ms}, begin).what ==
          admission_decision::kind::queued);
    CHECK(controller.submit({2, importance::normal, "w", begin + 220ms}, begin).what ==
          admission_decision::kind::refused);
    CHECK(controller.submit({3, importance::normal, "w", begin + 500ms}, begin).what ==
          admission_decision::kind::queued);
    // At a low rate the next request is admitted later than that.
    auto slow = make_cold_controller(4);
    CHECK(slow.submit({1, importance::normal, "w", begin + 1s}, begin).what ==
          admission_decision::kind::queued);
    CHECK(slow.submit({2, importance::normal, "w", begin + 1s}, begin).what ==
          admission_decision::kind::refused);
}

// Guards against a jump of the admitted load when a cold start ends while more is offered than the target
// takes.
TEST_CASE("the load of a target rises gradually after its cold start")
{
    auto controller = make_cold_controller(40);
    controller.cold_start().on_report(begin + 1s, begin, begin);
    constexpr duration slice = 500ms;
    std::vector<double> started(16);
    std::deque<std::pair<std::uint64_t, steady_time>> running;
    std::uint64_t id = 0;
    const auto start = [&](std::uint64_t request, steady_time now) {
        started[static_cast<std::size_t>((now - begin) / slice)] += 1;
        running.emplace_back(request, now + 20ms);
    };
    for (auto now = begin; now < begin + slice * 16; now += 1ms) {
        while (!running.empty() && running.front().second <= now) {
            controller.finish(running.front().first, 20ms, true, now);
            running.pop_front();
        }
        for (int i = 0; i < 3; ++i) {
            if (controller.submit({++id, importance::normal, "w", now + 200ms}, now).what ==
                admission_decision::kind::start) {
                start(id, now);
            }
        }
        for (const auto request : controller.poll(now).start) {
            start(request, now);
        }
    }
    CHECK(started[0] <= 21);
    CHECK(started[1] <= 21);
    for (std::size_t i = 2; i < started.size(); ++i) {
        INFO(i);
        CHECK(started[i] <= started[i - 1] * 1.9);
    }
    CHECK(started.back() > 700); // 34 slots, 20 ms each, 500 ms.
}
