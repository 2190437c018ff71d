#include "tests/ownership/simulation.h"

#include "src/ownership/slot_messages.h"
#include "src/ownership/wire.h"

#include <algorithm>
#include <cmath>

namespace wagtailhatch::sim {

namespace {

constexpr true_time tick_interval = 20 * ms;
const std::string workspace = "tuckshop";

double clock_speed(const settings& s, int index)
{
    if (s.weak.expiry_left_out && index % s.nodes == 0) {
        return 0.05;
    }
    const double speeds[] = {1.0, 0.72, 0.85, 0.95};
    return s.skewed_clocks ? speeds[static_cast<std::size_t>(index) % 4] : 1.0;
}

std::string data_centre_name(int index)
{
    return "dc" + std::to_string(index);
}

} // namespace

steady_time node_clock::now() const
{
    return steady_time{std::chrono::hours{1}} +
           duration{static_cast<std::int64_t>(static_cast<double>(world_.now()) * speed_)};
}

/// A request on its way.
struct world::exchange {
    std::shared_ptr<node> from;
    std::shared_ptr<node> to;
    channel c;
    std::string payload;
    std::function<void(peer_reply)> done;
    bool completed = false;
};

node::node(world& w, int i, std::uint64_t incarnation)
    : owner{w}
    , index{i}
    , data_centre{data_centre_name(i / w.settings_.nodes)}
    , self{"n" + std::to_string(i), incarnation, "10.0.0." + std::to_string(i)}
    , time{w, clock_speed(w.settings_, i)}
    , random{w.settings_.seed * 1000 + static_cast<std::uint64_t>(i) + incarnation * 100}
{
}

world::world(settings s)
    : settings_{s}
    , random{s.seed}
    , highest_burst_{s.burst}
{
    config_.version = 1;
    config_.slots_per_data_centre = s.slots;
    config_.run_once_memory = std::chrono::seconds{3600};
    config_.workspaces[workspace] = {workspace, s.rate, s.burst, "dc0", {}};
    for (int i = 0; i < s.data_centres; ++i) {
        config_.data_centres[data_centre_name(i)] = {data_centre_name(i), 1, false};
    }
    rates_.emplace_back(0, s.rate);
    nodes_.resize(static_cast<std::size_t>(count()));
    for (int i = 0; i < count(); ++i) {
        start(i, 1);
    }
    advance(3000 * ms);
}

void world::start(int i, std::uint64_t incarnation)
{
    auto n = std::make_shared<node>(*this, i, incarnation);
    nodes_[static_cast<std::size_t>(i)] = n;
    slot_service_options o;
    o.ownership.data_centre = o.wallet.data_centre = n->data_centre;
    o.ownership.slots = settings_.slots;
    n->service = std::make_unique<slot_service>(o, n->self, *n, *n, n->time, n->random);
    n->service->set_runner([this, raw = n.get()](const run_once_order& order, steady_time,
                                                 std::function<void(run_once_result)> done) {
        runner(*raw, order, std::move(done));
    });
    n->config = std::make_shared<configuration>(config_);
    n->service->set_configuration(n->config);
    ticking(n);
}

void world::ticking(const std::shared_ptr<node>& n)
{
    at_node(n, tick_interval, [this, n] {
        update_members(*n);
        n->service->tick();
        ticking(n);
    });
}

// Stands in for membership: a member that cannot be reached both ways is missing from the list.
void world::update_members(node& n)
{
    std::map<std::string, std::vector<node_ref>> members;
    for (const auto& other : nodes_) {
        const bool up = other->alive && !other->paused && !other->leaving;
        const bool seen = reachable(n.index, other->index) && reachable(other->index, n.index);
        if (other->index != n.index && up && seen) {
            members[other->data_centre].push_back(other->self);
        }
        if (settings_.weak.suspicion_is_evidence && other->index != n.index && !(up && seen)) {
            n.service->report_ended(other->self.id, other->self.incarnation);
        }
    }
    for (int dc = 0; dc < settings_.data_centres; ++dc) {
        n.service->set_members(data_centre_name(dc), members[data_centre_name(dc)]);
    }
}

void world::after(true_time d, std::function<void()> f)
{
    events_.push({now_ + d, next_event_++, std::move(f)});
}

void world::at_node(const std::shared_ptr<node>& n, true_time d, std::function<void()> f)
{
    after(d, [n, f = std::move(f)] {
        if (!n->alive) {
            return;
        }
        if (n->paused) {
            n->held.push_back(f);
            return;
        }
        f();
    });
}

void world::advance(true_time d)
{
    const auto until = now_ + d;
    while (!events_.empty() && events_.top().at <= until) {
        const auto e = events_.top();
        events_.pop();
        now_ = e.at;
        e.run();
    }
    now_ = until;
}

std::shared_ptr<node> world::find(const peer_address& a)
{
    const auto found =
        std::find_if(nodes_.begin(), nodes_.end(), [&](const auto& n) { return n->self.address == a; });
    return found == nodes_.end() ? nullptr : *found;
}

void node::request(const peer_address& to, channel c, std::string payload, duration timeout,
                   std::function<void(peer_reply)> done)
{
    auto& w = owner;
    auto e = std::make_shared<world::exchange>();
    e->from = w.nodes_[static_cast<std::size_t>(index)];
    if (e->from.get() != this) {
        return; // Asked by a life that has ended.
    }
    e->to = w.find(to);
    e->c = c;
    e->payload = std::move(payload);
    e->done = std::move(done);
    ++w.messages;
    w.message_bytes += e->payload.size();
    if (!e->to || !e->to->alive) {
        w.at_node(e->from, ms / 5, [e] {
            e->completed = true;
            e->done({false, {}, {make_error(errc::unavailable, "refused"), delivery::not_sent}});
        });
        return;
    }
    w.at_node(e->from, time.to_true(timeout), [e] {
        if (!e->completed) {
            e->completed = true;
            e->done({false, {}, {make_error(errc::timeout, "no answer"), delivery::maybe_sent}});
        }
    });
    w.deliver(e, w.random.unit() < w.duplicates ? 2 : 1);
}

void world::deliver(const std::shared_ptr<exchange>& e, int times)
{
    const auto latency = [this] {
        const auto base = static_cast<true_time>(ms / 5 + static_cast<true_time>(random.below(ms)));
        return random.unit() < delays ? base + static_cast<true_time>(random.below(4000)) * ms : base;
    };
    const auto answer = [this, e, latency](const std::string& text) {
        message_bytes += text.size();
        if (!reachable(e->to->index, e->from->index) || random.unit() < loss) {
            return;
        }
        at_node(e->from, latency(), [this, e, text] {
            if (!e->completed) {
                e->completed = true;
                e->done({true, disguise(*e, text), {}});
            }
        });
    };
    if (settings_.weak.partner_not_awaited || settings_.weak.confirmations_forged) {
        const auto forged = disguise(*e, {});
        if (!forged.empty()) {
            answer(forged);
        }
    }
    for (int i = 0; i < times; ++i) {
        if (!reachable(e->from->index, e->to->index) || random.unit() < loss) {
            continue;
        }
        at_node(e->to, latency(), [e, answer] { e->to->service->handle(e->c, e->payload, answer); });
    }
}

// Answers as they would be without the mechanism that a test switches off.
std::string world::disguise(const exchange& e, std::string answer) const
{
    wire_reader r{e.payload};
    const auto type = static_cast<slot_message>(r.u8());
    const auto& weak = settings_.weak;
    if (e.c == channel::slot && type == slot_message::pair &&
        (weak.partner_not_awaited || weak.partner_not_sealed)) {
        wire_writer w;
        return w.u8(1).str({}).take();
    }
    if (e.c == channel::quota && type == slot_message::confirm && weak.confirmations_forged) {
        wire_writer w;
        w.u8(static_cast<std::uint8_t>(slot_answer::done)).u64(~std::uint64_t{0});
        return w.u64(division_stamp(*e.from->config)).take();
    }
    return answer;
}

void node::read(const std::string& key, std::function<void(result<table_row>)> done)
{
    auto& w = owner;
    ++w.table_reads;
    const auto me = w.nodes_[static_cast<std::size_t>(index)];
    if (!w.platform_up(*this)) {
        w.at_node(me, 5 * ms, [done = std::move(done)] { done(errc::unavailable); });
        return;
    }
    w.after(ms, [&w, me, key, done = std::move(done)] {
        const auto found = w.table_.find(key);
        const auto row = found == w.table_.end()
                             ? result<table_row>{errc::not_found}
                             : result<table_row>{table_row{key, found->second.value,
                                                           std::to_string(found->second.version)}};
        w.at_node(me, ms, [row, done] { done(row); });
    });
}

void node::list(const std::string& prefix, std::function<void(result<std::vector<table_row>>)> done)
{
    auto& w = owner;
    ++w.table_reads;
    const auto me = w.nodes_[static_cast<std::size_t>(index)];
    if (!w.platform_up(*this)) {
        w.at_node(me, 5 * ms, [done = std::move(done)] { done(errc::unavailable); });
        return;
    }
    std::vector<table_row> rows;
    for (const auto& [key, row] : w.table_) {
        if (key.starts_with(prefix)) {
            rows.push_back({key, row.value, std::to_string(row.version)});
        }
    }
    w.at_node(me, 2 * ms, [rows, done = std::move(done)] { done(rows); });
}

void node::write(const std::string& key, const std::string& value, const write_condition& condition,
                 std::function<void(result<std::string>)> done)
{
    auto& w = owner;
    ++w.table_writes;
    const auto me = w.nodes_[static_cast<std::size_t>(index)];
    if (!w.platform_up(*this)) {
        w.at_node(me, 5 * ms, [done = std::move(done)] { done(errc::unavailable); });
        return;
    }
    // A write whose answer is lost may also take effect late.
    const bool lost = w.lose_write_answer && w.random.unit() < 0.5;
    const auto late = lost ? static_cast<true_time>(w.random.below(2000)) * ms : ms;
    if (lost) {
        w.at_node(me, 500 * ms, [done] { done(errc::timeout); });
    }
    w.after(late, [&w, me, key, value, condition, lost, done] {
        auto& row = w.table_[key];
        const bool holds =
            w.settings_.weak.conditions_ignored || (condition.type == write_condition::kind::must_not_exist
                                                        ? row.version == 0
                                                        : condition.etag == std::to_string(row.version));
        if (holds) {
            row.value = value;
            ++row.version;
        }
        if (!lost) {
            const auto answer = holds ? result<std::string>{std::to_string(row.version)}
                                      : result<std::string>{errc::conflict};
            w.at_node(me, ms, [answer, done] { done(answer); });
        }
    });
}

void world::runner(node& n, const run_once_order& o, std::function<void(run_once_result)> done)
{
    const auto me = nodes_[static_cast<std::size_t>(n.index)];
    const auto chance = random.below(10);
    if (chance == 0) {
        at_node(me, 3 * ms, [done] { done({outcome::not_run, refusal_reason::no_target, false, {}}); });
        return;
    }
    ++orders[o.request].runs;
    if (++runs_by_key_[o.key] > 1) {
        violation_ = "key " + o.key + " ran twice";
    }
    const auto what = chance == 1 ? outcome::unknown : outcome::answered;
    at_node(me, static_cast<true_time>(random.below(100)) * ms, [done, what, o] {
        done({what, refusal_reason::none, false, "answer " + o.key});
    });
}

void world::take(int node_index, int how_many)
{
    auto& n = at(node_index);
    for (int i = 0; i < how_many && n.alive && !n.paused; ++i) {
        n.service->take_token(workspace, [this](const take_result& r) {
            ++(r.granted ? granted : refused);
            if (r.granted) {
                spent_.push_back(now_);
            }
        });
    }
}

void world::order(int node_index, int key)
{
    auto& n = at(node_index);
    if (!n.alive || n.paused) {
        return;
    }
    const auto text = "k" + std::to_string(key);
    const auto request = std::to_string(orders.size());
    orders[request].key = text;
    const bool first = sent_keys_.insert(text).second;
    const auto me = nodes_[static_cast<std::size_t>(n.index)];
    n.service->run_once({workspace, text, first, request}, n.time.now() + std::chrono::seconds{2},
                        [this, request](const run_once_result& r) {
                            auto& o = orders[request];
                            o.what = r.what;
                            if (++o.answers > 1) {
                                violation_ = "order " + request + " was answered twice";
                            }
                            if (r.what == outcome::not_run && o.runs > 0) {
                                violation_ = "order " + request + " ran and was answered not run";
                            }
                            if (r.what == outcome::answered && runs_by_key_[o.key] == 0) {
                                violation_ = "order " + request + " was answered and never ran";
                            }
                        });
}

void world::wake(int i)
{
    auto& n = at(i);
    n.paused = false;
    while (!n.held.empty() && n.alive) {
        const auto f = std::move(n.held.front());
        n.held.pop_front();
        f();
    }
}

void world::restart(int i)
{
    auto& old = nodes_[static_cast<std::size_t>(i % count())];
    const auto incarnation = old->self.incarnation + 1;
    old->alive = false;
    ended_.push_back(old);
    start(i % count(), incarnation);
}

void world::cut_data_centre(int dc)
{
    dc %= settings_.data_centres;
    cut_off_.insert(dc);
    for (int a = 0; a < count(); ++a) {
        for (int b = 0; b < count(); ++b) {
            if ((a / settings_.nodes == dc) != (b / settings_.nodes == dc)) {
                cut(a, b);
            }
        }
    }
}

void world::heal()
{
    cut_.clear();
    cut_off_.clear();
    loss = duplicates = delays = 0;
    table_up = true;
    lose_write_answer = false;
}

void world::stop(int i)
{
    auto& n = at(i);
    if (!n.alive || n.paused || n.leaving) {
        return;
    }
    n.leaving = true;
    const auto me = nodes_[static_cast<std::size_t>(n.index)];
    n.service->hand_over_all(std::chrono::seconds{5},
                             [this, me] { after(50 * ms, [me] { me->alive = false; }); });
}

void world::configure(double rate, const std::vector<double>& weights)
{
    config_.workspaces[workspace].rate = rate;
    for (int i = 0; i < settings_.data_centres; ++i) {
        config_.data_centres[data_centre_name(i)].weight =
            weights[static_cast<std::size_t>(i) % weights.size()];
    }
    publish(config_);
}

void world::configure_home(const std::string& home)
{
    config_.workspaces[workspace].home = home;
    publish(config_);
}

void world::publish(const configuration& c)
{
    ++config_.version;
    const auto copy = std::make_shared<configuration>(c);
    copy->version = config_.version;
    for (const auto& n : nodes_) {
        at_node(n, static_cast<true_time>(random.below(1500)) * ms, [this, n, copy] {
            if (n->config->version < copy->version) {
                n->config = copy;
                n->service->set_configuration(copy);
                note_rate();
            }
        });
    }
    note_rate();
}

void world::note_rate()
{
    double highest = 0;
    for (const auto& n : nodes_) {
        highest = std::max(highest, n->config->workspaces.at(workspace).rate);
    }
    rates_.emplace_back(now_, highest);
}

// A bucket of the fleet-wide rate and burst in true time: it runs dry exactly if some window is exceeded.
std::string world::rate_violation() const
{
    double level = highest_burst_;
    true_time last = 0;
    std::size_t next_rate = 0;
    double rate = 0;
    for (const auto at : spent_) {
        while (last < at) {
            if (next_rate < rates_.size() && rates_[next_rate].first <= last) {
                rate = rates_[next_rate++].second;
                continue;
            }
            const auto until = next_rate < rates_.size() ? std::min(at, rates_[next_rate].first) : at;
            level = std::min(highest_burst_, level + rate * static_cast<double>(until - last) / 1e9);
            last = until;
        }
        level -= 1;
        if (level < -1e-5) {
            return "rate exceeded by " + std::to_string(-level) + " at " + std::to_string(at / ms) + " ms";
        }
    }
    return {};
}

std::string world::violation() const
{
    return violation_.empty() ? rate_violation() : violation_;
}

int world::unanswered() const
{
    return static_cast<int>(
        std::count_if(orders.begin(), orders.end(), [](const auto& o) { return o.second.answers == 0; }));
}

} // namespace wagtailhatch::sim
