// Case 10: a server leaves and its leaving is acknowledged; its node is killed and restarted; a heartbeat
// that the server sent before it left arrives late.

#include "harness.h"

#include <csignal>
#include <iostream>

namespace {

using namespace review;

constexpr auto drain_time = 2s;       // DrainS.
constexpr auto contact_time = 3s;     // ContactS.
constexpr auto heartbeat_delay = 3s;  // "A heartbeat may arrive seconds late."
constexpr auto restart_delay = 500ms; // A killed process is restarted after a short delay.
constexpr auto server_stays = 12s;    // "DrainS and a little longer (at times many seconds)".
constexpr double lookups_per_second = 40;

struct sent_request {
    std::string id;
    clock::time_point at;
};

std::string lookup(const deployment& d, const std::string& id)
{
    header_map headers;
    headers["X-Wagtailhatch-Hatch-Request-Id"] = id;
    headers["X-Wagtailhatch-Hatch-Deadline-Ms"] = "2000";
    return make_request("GET", d.host(), "/lookups/a", headers, {});
}

awaitable<void> send_lookup(deployment& d, std::vector<sent_request>& sent, long& answered)
{
    const auto id = d.next_id();
    sent.push_back({id, clock::now()});
    const auto bytes = lookup(d, id);
    const auto m = co_await send_once(d.ip(2), deployment::outbound, bytes, 2s);
    answered += m.status == 200 ? 1 : 0;
}

awaitable<void> load(deployment& d, std::vector<sent_request>& sent, long& answered, clock::time_point end)
{
    while (clock::now() < end) {
        asio::co_spawn(d.io, send_lookup(d, sent, answered), asio::detached);
        co_await sleep_for(std::chrono::milliseconds{static_cast<long>(1000 / lookups_per_second)});
    }
}

awaitable<void> deliver_late(deployment& d, std::string beat)
{
    co_await sleep_for(heartbeat_delay);
    const auto m = co_await send_once(d.ip(1), deployment::control, beat, 1s);
    d.record("late heartbeat delivered, answer " + std::to_string(m.status));
}

std::string leave_request(const server& s)
{
    header_map headers;
    headers["Content-Type"] = "application/json";
    const auto body = nlohmann::json{{"Service", s.service}, {"born", s.born}}.dump();
    return make_request("DELETE", s.ip, "/api/instances/" + s.id, headers, body);
}

awaitable<int> play(deployment& d)
{
    auto& leaving = *d.servers.at(0);
    std::vector<sent_request> sent;
    long answered = 0;
    asio::co_spawn(d.io, load(d, sent, answered, clock::now() + 17s), asio::detached);
    co_await sleep_for(2s);
    leaving.stop_heartbeats();
    asio::co_spawn(d.io, deliver_late(d, leaving.beat_request("ready")), asio::detached);
    d.record("heartbeat " + std::to_string(leaving.sequence) + " of " + leaving.id +
             " sent, it will be late");
    co_await sleep_for(600ms);
    leaving.leaving = true;
    const auto leave = leave_request(leaving);
    const auto ack = co_await send_once(leaving.ip, deployment::control, leave, 1s);
    const auto acknowledged = clock::now();
    d.record(leaving.id + " says that it leaves, answer " + std::to_string(ack.status));
    if (ack.status / 100 != 2) {
        co_return exit_not_run;
    }
    auto in_touch = acknowledged + drain_time;
    if (d.trouble) {
        co_await sleep_for(200ms);
        d.kill_node(1, SIGKILL);
        co_await sleep_for(restart_delay);
        d.start_node(1);
        d.record("node 1 started again");
        in_touch = std::max(in_touch, clock::now() + contact_time + 500ms);
    }
    co_await sleep_for(acknowledged + server_stays - clock::now());
    long late = 0;
    for (const auto& r : sent) {
        std::string where;
        for (const auto& s : d.servers) {
            where += s->runs_of.count(r.id) > 0 ? " " + s->id : std::string{};
        }
        d.record("request " + r.id + " sent " +
                 std::to_string(std::chrono::duration<double>(r.at - acknowledged).count()) +
                 " s after the acknowledgement, ran at" + where);
        if (r.at > in_touch && leaving.runs_of.count(r.id) > 0) {
            ++late;
            d.record("request " + r.id + ", sent " +
                     std::to_string(std::chrono::duration<double>(r.at - acknowledged).count()) +
                     " s after the acknowledgement, ran at " + leaving.id);
        }
    }
    const auto line = "requests sent " + std::to_string(sent.size()) + ", answered 200 " +
                      std::to_string(answered) +
                      "; ran at the server that had left, sent later than DrainS after "
                      "the acknowledgement and ContactS after the restart: " +
                      std::to_string(late);
    d.record(line);
    std::cout << line << '\n';
    if (answered < static_cast<long>(sent.size()) / 2) {
        co_return exit_not_run;
    }
    co_return late > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    deployment d{argc, argv};
    d.routes = {{"lookup", "/lookups/", "idempotent", "templates", 2, 1.2}};
    for (int i = 0; i < 2; ++i) {
        d.add_server("templates", 100);
    }
    return d.run([&]() { return play(d); });
}
