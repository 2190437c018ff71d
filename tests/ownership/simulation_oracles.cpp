// Load, faults and oracles of the simulated fleet.
#include "tests/ownership/simulation.h"

#include <algorithm>

namespace wagtailhatch::sim {

namespace {

const std::string workspace = "tuckshop";

std::string data_centre_name(int index)
{
    return "dc" + std::to_string(index);
}

} // namespace

void world::runner(node& n, const run_once_order& o, const std::function<void(run_once_result)>& done)
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
    orders[request].entry = nodes_[static_cast<std::size_t>(n.index)];
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
    note_rate();
}

void world::cut_data_centre(int dc)
{
    dc %= options.data_centres;
    cut_off_.insert(dc);
    for (int a = 0; a < count(); ++a) {
        for (int b = 0; b < count(); ++b) {
            if ((a / options.nodes == dc) != (b / options.nodes == dc)) {
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
    lose_write_answer = table_slow = false;
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
    for (int i = 0; i < options.data_centres; ++i) {
        config_.data_centres[data_centre_name(i)].weight =
            weights[static_cast<std::size_t>(i) % weights.size()];
    }
    publish();
}

void world::configure_home(const std::string& home)
{
    config_.workspaces[workspace].home = home;
    publish();
}

// Reaches each node after a time of its own, and a data centre that is cut off only once that has healed.
void world::publish()
{
    ++config_.version;
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

void world::settle()
{
    options.load = false;
    heal();
    for (int i = 0; i < count(); ++i) {
        wake(i);
        if (!at(i).alive || at(i).leaving) {
            restart(i);
        }
    }
    advance(90'000 * ms);
}

bool world::serves()
{
    const auto before = orders.size();
    const auto granted_before = granted;
    for (int i = 0; i < 40; ++i) {
        take(i, 1);
        order(i, 100'000'000 + i);
    }
    advance(5000 * ms);
    const auto answered = std::count_if(orders.begin(), orders.end(), [&](const auto& o) {
        return std::stoul(o.first) >= before && o.second.what == outcome::answered;
    });
    return answered > 0 && granted > granted_before;
}

int world::unanswered() const
{
    return static_cast<int>(std::count_if(orders.begin(), orders.end(), [](const auto& o) {
        return o.second.answers == 0 && o.second.entry->alive;
    }));
}

} // namespace wagtailhatch::sim
