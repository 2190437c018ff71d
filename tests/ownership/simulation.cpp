#include "tests/ownership/simulation.h"

#include "src/core/wire.h"
#include "src/ownership/slot_messages.h"

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
    , data_centre{data_centre_name(i / w.options.nodes)}
    , self{"n" + std::to_string(i), incarnation, "10.0.0." + std::to_string(i)}
    , time{w, clock_speed(w.options, i)}
    , random{w.options.seed * 1000 + static_cast<std::uint64_t>(i) + incarnation * 100}
{
}

world::world(settings s)
    : options{s}
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
    if (s.load) {
        offer_load();
    }
}

// Each key is sent several times by several nodes while it is new, and now and then later.
void world::offer_load()
{
    if (!options.load) {
        return;
    }
    const auto node_index = static_cast<int>(random.below(static_cast<std::uint64_t>(count())));
    take(node_index, static_cast<int>(random.below(static_cast<std::uint64_t>(options.rate / 5)) + 1));
    const auto newest = static_cast<std::uint64_t>(now_ / (200 * ms)) + 100;
    const auto back = random.below(3) == 0 ? random.below(100) : 0;
    order(static_cast<int>(random.below(static_cast<std::uint64_t>(count()))),
          static_cast<int>(newest - back));
    after(50 * ms, [this] { offer_load(); });
}

// Held events own their node, and so do the answers that a node's service still owes.
world::~world()
{
    for (const auto* list : {&nodes_, &ended_}) {
        for (const auto& n : *list) {
            n->held.clear();
            n->service.reset();
        }
    }
}

void world::start(int i, std::uint64_t incarnation)
{
    auto n = std::make_shared<node>(*this, i, incarnation);
    nodes_[static_cast<std::size_t>(i)] = n;
    slot_service_options o;
    o.ownership.data_centre = o.wallet.data_centre = n->data_centre;
    o.ownership.slots = options.slots;
    n->service = std::make_unique<slot_service>(o, n->self, *n, *n, n->time, n->random);
    n->service->set_runner([this, raw = n.get()](const run_once_order& order, steady_time,
                                                 const std::function<void(run_once_result)>& done) {
        runner(*raw, order, done);
    });
    n->config = std::make_shared<configuration>(config_);
    n->service->set_configuration(n->config);
    ticking(n);
}

void world::ticking(const std::shared_ptr<node>& n)
{
    at_node(n, tick_interval, [this, n] {
        update_members(*n);
        if (n->config->version < config_.version && !cut_off_.contains(n->index / options.nodes) &&
            random.below(40) == 0) {
            n->config = std::make_shared<configuration>(config_);
            n->service->set_configuration(n->config);
            note_rate();
        }
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
        if (options.weak.suspicion_is_evidence && other->index != n.index && !(up && seen)) {
            n.service->report_ended(other->self.id, other->self.incarnation);
        }
    }
    for (int dc = 0; dc < options.data_centres; ++dc) {
        n.service->set_members(data_centre_name(dc), members[data_centre_name(dc)]);
    }
}

true_time world::table_latency()
{
    return table_slow ? static_cast<true_time>(random.below(800)) * ms : ms;
}

std::pair<int, int> world::pair_of(int which) const
{
    const auto found = table_.find("slot/" + data_centre_name(which % options.data_centres) + "/" +
                                   std::to_string(static_cast<std::uint32_t>(which) % options.slots));
    const auto row =
        found == table_.end() ? result<slot_row>{errc::not_found} : decode_row(found->second.value);
    const auto index = [](const node_ref& n) { return n.empty() ? 0 : std::stoi(n.id.substr(1)); };
    return row ? std::pair{index(row.value().owner), index(row.value().partner)} : std::pair{0, 0};
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
    if (options.weak.partner_not_awaited || options.weak.confirmations_forged) {
        const auto forged = disguise(*e, {});
        if (!forged.empty()) {
            at_node(e->from, latency(), [e, forged] {
                if (!e->completed) {
                    e->completed = true;
                    e->done({true, forged, {}});
                }
            });
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
    const auto& weak = options.weak;
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
    w.after(w.table_latency(), [&w, me, key, done = std::move(done)] {
        const auto found = w.table_.find(key);
        const auto row = found == w.table_.end()
                             ? result<table_row>{errc::not_found}
                             : result<table_row>{table_row{key, found->second.value,
                                                           std::to_string(found->second.version)}};
        w.at_node(me, w.table_latency(), [row, done] { done(row); });
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
    const auto late = lost ? static_cast<true_time>(w.random.below(2000)) * ms : w.table_latency();
    if (lost) {
        w.at_node(me, 500 * ms, [done] { done(errc::timeout); });
    }
    w.after(late, [&w, me, key, value, condition, lost, done] {
        auto& row = w.table_[key];
        const bool holds =
            w.options.weak.conditions_ignored || (condition.type == write_condition::kind::must_not_exist
                                                      ? row.version == 0
                                                      : condition.etag == std::to_string(row.version));
        if (holds) {
            row.value = value;
            ++row.version;
        }
        if (!lost) {
            const auto answer = holds ? result<std::string>{std::to_string(row.version)}
                                      : result<std::string>{errc::conflict};
            w.at_node(me, w.table_latency(), [answer, done] { done(answer); });
        }
    });
}

} // namespace wagtailhatch::sim
