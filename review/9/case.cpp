// Case 9: one tenant sends many times its usual while answers of two of three servers are lost, so that
// requests end at their route's time-out after they have run.

#include "harness.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace {

using namespace review;

constexpr double rate = 200;
constexpr double burst = 60;
constexpr double usual_per_second = rate / 1.6;
constexpr double hot_factor = 2.5; // hot_tenant: x = 8, for_s = 9.
constexpr double lost_share = 0.3; // answer_lost: share = 0.6, x = 0.3, for_s = 6.
constexpr auto hot_time = 9s;
constexpr auto lost_time = 6s;
constexpr auto usual_work = 220ms;
constexpr double quota_window = 5;
constexpr double allowed = (rate * quota_window + burst) * 1.1 + 20;

std::string lookup(const deployment& d, const std::string& id)
{
    header_map headers;
    headers["X-Wagtailhatch-Hatch-Request-Id"] = id;
    headers["X-Wagtailhatch-Hatch-Deadline-Ms"] = "6000";
    headers["Authorization"] = "Bearer key-of-a";
    return make_request("GET", d.host(), "/status/a", headers, {});
}

struct totals {
    std::map<std::string, clock::time_point> sent;
    std::map<int, long> statuses;
};

awaitable<void> send_lookup(deployment& d, totals& t, int machine)
{
    const auto id = d.next_id();
    t.sent[id] = clock::now();
    const auto bytes = lookup(d, id);
    const auto m = co_await send_once(d.ip(machine), deployment::outbound, bytes, 6s);
    ++t.statuses[m.status];
}

awaitable<void> load(deployment& d, totals& t, double per_second, clock::duration length)
{
    const auto begin = clock::now();
    for (long i = 0; clock::now() < begin + length; ++i) {
        const int machine = 1 + static_cast<int>(d.unit() * static_cast<double>(d.servers.size()));
        asio::co_spawn(d.io, send_lookup(d, t, machine), asio::detached);
        co_await sleep_for(begin + std::chrono::microseconds{static_cast<long>(1e6 / per_second)} * i -
                           clock::now());
    }
}

/// Most requests that were both sent and run within one window, and where it begins.
std::pair<long, double> most_in_window(const deployment& d, const totals& t, clock::time_point begin)
{
    std::vector<double> sent_at;
    std::vector<std::pair<double, double>> all;
    for (const auto& r : d.runs) {
        const double s = std::chrono::duration<double>(t.sent.at(r.id) - begin).count();
        all.emplace_back(s, std::chrono::duration<double>(r.at - begin).count());
        sent_at.push_back(s);
    }
    std::pair<long, double> most{0, 0};
    for (const double from : sent_at) {
        const auto n = std::count_if(all.begin(), all.end(), [&](const auto& r) {
            return r.first >= from && r.second < from + quota_window;
        });
        most = std::max(most, {static_cast<long>(n), from});
    }
    return most;
}

awaitable<void> lose_answers(deployment& d)
{
    co_await sleep_for(1s);
    if (!d.trouble) {
        co_return;
    }
    d.record("two of three servers lose answers");
    for (std::size_t i = 0; i < 2; ++i) {
        d.servers.at(i)->loses_answer = [&d](const server::work&) { return d.unit() < lost_share; };
    }
    co_await sleep_for(lost_time);
    for (std::size_t i = 0; i < 2; ++i) {
        d.servers.at(i)->loses_answer = [](const server::work&) { return false; };
    }
    d.record("no answers are lost any more");
}

awaitable<int> play(deployment& d)
{
    totals t;
    const auto begin = clock::now();
    co_await load(d, t, usual_per_second, 4s);
    const auto usual_runs = d.runs.size();
    d.record("the tenant sends 8 times its usual");
    asio::co_spawn(d.io, lose_answers(d), asio::detached);
    co_await load(d, t, usual_per_second * hot_factor, hot_time);
    co_await sleep_for(3s);
    for (const auto& r : d.runs) {
        d.record("run " + r.id + " at " + r.server + ", tenant " + r.tenant + ", at " +
                 std::to_string(std::chrono::duration<double>(r.at - begin).count()));
    }
    const auto [most, from] = most_in_window(d, t, begin);
    std::string line = "answers";
    for (const auto& [status, n] : t.statuses) {
        line += " " + std::to_string(status) + ":" + std::to_string(n);
    }
    line += "; sent and run in 5 s from " + std::to_string(from) + ": " + std::to_string(most) +
            ", allowed " + std::to_string(static_cast<long>(allowed));
    d.record(line);
    std::cout << line << '\n';
    if (usual_runs < 100) {
        co_return exit_not_run;
    }
    co_return static_cast<double>(most) > allowed ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    deployment d{argc, argv};
    d.routes = {{"status", "/status/", "idempotent", "lupatila", 1.2, 2.0, 2, 2, false}};
    d.tenants = {{"tenant-a", "key-of-a", rate, burst}};
    for (int i = 0; i < 3; ++i) {
        auto& s = d.add_server("lupatila", 72);
        s.work_time = [](const server::work&) { return usual_work; };
    }
    return d.run([&]() { return play(d); });
}
