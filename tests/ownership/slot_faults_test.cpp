// Stateful tests: random faults over a simulated fleet, with oracles for rate and at-most-once.
#include "tests/ownership/simulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <rapidcheck/state.h>

#include <cstdlib>
#include <sstream>

using namespace wagtailhatch;
using sim::ms;

namespace {

enum class step : std::uint8_t {
    take,
    burst,
    order,
    repeat,
    pause,
    wake,
    crash,
    restart,
    cut,
    cut_data_centre,
    heal,
    table_away,
    table_back,
    lose_write_answer,
    messages_lost,
    messages_doubled,
    messages_late,
    rate,
    weights,
    home,
    stop,
    wait,
    order_everywhere,
    pause_owner,
    crash_owner,
    restart_partner,
    cut_pair,
    table_slow,
    count
};

constexpr const char* step_names[] = {"take",
                                      "burst",
                                      "order",
                                      "repeat",
                                      "pause",
                                      "wake",
                                      "crash",
                                      "restart",
                                      "cut",
                                      "cut_data_centre",
                                      "heal",
                                      "table_away",
                                      "table_back",
                                      "lose_write_answer",
                                      "messages_lost",
                                      "messages_doubled",
                                      "messages_late",
                                      "rate",
                                      "weights",
                                      "home",
                                      "stop",
                                      "wait",
                                      "order_everywhere",
                                      "pause_owner",
                                      "crash_owner",
                                      "restart_partner",
                                      "cut_pair",
                                      "table_slow"};

void run_step(sim::world& w, step s, int a, int b)
{
    switch (s) {
    case step::take:
        return w.take(a, 1 + b % 5);
    case step::burst:
        for (int i = 0; i < w.count(); ++i) {
            w.take(i, 25);
        }
        return;
    case step::order:
    case step::repeat:
        return w.order(a, b % 12);
    case step::pause:
        return w.pause(a);
    case step::wake:
        return w.wake(a);
    case step::crash:
        return w.crash(a);
    case step::restart:
        return w.restart(a);
    case step::cut:
        return w.cut(a, b);
    case step::cut_data_centre:
        return w.cut_data_centre(a);
    case step::heal:
        return w.heal();
    case step::table_away:
    case step::table_back:
        w.table_up = s == step::table_back;
        return;
    case step::lose_write_answer:
        w.lose_write_answer = true;
        return;
    case step::messages_lost:
        w.loss = 0.2;
        return;
    case step::messages_doubled:
        w.duplicates = 0.3;
        return;
    case step::messages_late:
        w.delays = 0.2;
        return;
    case step::rate:
        return w.configure(10 + a % 5 * 20, {1, 1, 1});
    case step::weights:
        return w.configure(50, {1.0 + a % 4, 1.0 + b % 3, 1});
    case step::home:
        return w.configure_home("dc" + std::to_string(b % w.options.data_centres));
    case step::stop:
        return w.stop(a);
    case step::order_everywhere:
        for (int i = 0; i < w.count(); ++i) {
            w.order(i, b);
        }
        return;
    case step::pause_owner:
        return w.pause(w.pair_of(a).first);
    case step::crash_owner:
        return w.crash(w.pair_of(a).first);
    case step::restart_partner:
        return w.restart(w.pair_of(a).second);
    case step::cut_pair:
        w.cut(w.pair_of(a).first, w.pair_of(a).second);
        if (b % 2 == 0) {
            w.cut(w.pair_of(a).second, w.pair_of(a).first);
        }
        return;
    case step::table_slow:
        w.table_slow = true;
        return;
    case step::wait:
    case step::count:
        break;
    }
    w.advance(1000 * ms);
}

// Commands run in all, reported at the end: the length of a run is chosen by RapidCheck.
int commands_run = 0;

struct model {};

// WH_WEAKNESS=<name> switches a mechanism off, to see that the oracles notice.
sim::weakness weakness_from_environment()
{
    sim::weakness weak;
    const char* text = std::getenv("WH_WEAKNESS"); // NOLINT(concurrency-mt-unsafe)
    const std::string name = text == nullptr ? "" : text;
    weak.partner_not_awaited = name == "partner_not_awaited";
    weak.partner_not_sealed = name == "partner_not_sealed";
    weak.conditions_ignored = name == "conditions_ignored";
    weak.suspicion_is_evidence = name == "suspicion_is_evidence";
    weak.confirmations_forged = name == "confirmations_forged";
    weak.expiry_left_out = name == "expiry_left_out";
    return weak;
}

struct fault_command : rc::state::Command<model, sim::world> {
    step what = *rc::gen::map(rc::gen::inRange(0, static_cast<int>(step::count)),
                              [](int i) { return static_cast<step>(i); });
    int a = *rc::gen::inRange(0, 12);
    int b = *rc::gen::inRange(0, 12);
    int wait = *rc::gen::element(1, 20, 100, 400, 1200);

    void run(const model& /*m*/, sim::world& w) const override
    {
        ++commands_run;
        run_step(w, what, a, b);
        w.advance(wait * ms);
        const auto broken = w.violation();
        if (!broken.empty()) {
            RC_FAIL(broken);
        }
    }
    void show(std::ostream& os) const override
    {
        os << step_names[static_cast<std::size_t>(what)] << "(" << a << ", " << b << ") +" << wait << " ms";
    }
};

void check_faults(const sim::settings& s)
{
    sim::world w{s};
    rc::state::check(model{}, w, rc::state::gen::execOneOfWithArgs<fault_command>());
    // Once all is well again, every order has ended and new ones are served.
    w.settle();
    RC_ASSERT(s.weak.expiry_left_out || w.unanswered() == 0);
    const bool serves = w.serves();
    RC_ASSERT(w.violation() == std::string{});
    RC_ASSERT(s.weak.expiry_left_out || serves);
}

} // namespace

// Guards against a second run, a wrong "not run" and a window above rate and burst, under any faults.
TEST_CASE("promises hold under random faults")
{
    CHECK(rc::check("random faults", [] {
        sim::settings s;
        s.seed = *rc::gen::inRange<std::uint64_t>(0, 1000000);
        s.data_centres = *rc::gen::inRange(1, 4);
        s.nodes = *rc::gen::inRange(1, 5);
        s.slots = *rc::gen::element<std::uint32_t>(1, 3);
        s.load = true;
        s.weak = weakness_from_environment();
        check_faults(s);
    }));
    WARN("commands run: " << commands_run);
}
