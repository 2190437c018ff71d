// Case 6: orders through nodes whose servers reject a part of everything and repeat some answers late.

#include "harness.h"

#include <iostream>

namespace {

using namespace review;

constexpr int rounds = 13;
constexpr auto trouble_time =
    5s; // Of each round; the pages let the repeated answers last 5 s, the rejections 8.5 s.
constexpr auto calm_time = 2s;
constexpr double rejected_share = 0.45;
constexpr double repeated_share = 0.03;
constexpr double orders_per_second = 500;

bool in_trouble = false;

struct totals {
    long sent = 0, answered_ok = 0, answered_refused = 0, other = 0;
};

std::string order_request(const deployment& d, const std::string& id)
{
    header_map headers;
    headers["X-Wagtailhatch-Hatch-Request-Id"] = id;
    headers["X-Wagtailhatch-Hatch-Deadline-Ms"] = "2000";
    return make_request("POST", d.host(), "/orders/new", headers, "order");
}

awaitable<void> send_order(deployment& d, int machine, totals& t, std::map<std::string, int>& answers)
{
    const auto id = d.next_id();
    ++t.sent;
    const auto m = co_await send_once(d.ip(machine), deployment::outbound, order_request(d, id), 2s);
    answers[id] = m.status;
    if (m.status == 200) {
        ++t.answered_ok;
    }
    else if (m.status == 503 || m.status == 429 || m.status == 408 || m.status == 421) {
        ++t.answered_refused;
    }
    else {
        ++t.other;
    }
}

/// What was sent, answered and run so far.
void record_totals(deployment& d, const totals& t)
{
    d.record("so far: orders sent " + std::to_string(t.sent) + ", answered 200 " +
             std::to_string(t.answered_ok) + ", refused as not run " + std::to_string(t.answered_refused) +
             ", answered otherwise " + std::to_string(t.other) + ", runs " + std::to_string(d.runs.size()));
}

awaitable<int> play(deployment& d)
{
    totals t;
    std::map<std::string, int> answers;
    const auto begin = clock::now();
    constexpr auto round_time = trouble_time + calm_time;
    for (long i = 0; clock::now() < begin + rounds * round_time; ++i) {
        const int machine = 1 + static_cast<int>(d.unit() * static_cast<double>(d.servers.size()));
        in_trouble = d.trouble && (clock::now() - begin) % round_time < trouble_time;
        asio::co_spawn(d.io, send_order(d, machine, t, answers), asio::detached);
        if (i % static_cast<long>(orders_per_second) == 0) {
            record_totals(d, t);
        }
        co_await sleep_for(begin + std::chrono::microseconds{static_cast<long>(1e6 / orders_per_second)} * i -
                           clock::now());
    }
    in_trouble = false;
    co_await sleep_for(3s);
    std::map<std::string, int> runs;
    for (const auto& r : d.runs) {
        ++runs[r.id];
    }
    long twice = 0;
    long refused_but_run = 0;
    for (const auto& [id, count] : runs) {
        const int status = answers.count(id) > 0 ? answers.at(id) : 0;
        const bool refused = status == 503 || status == 429 || status == 408 || status == 421;
        twice += count > 1 ? 1 : 0;
        refused_but_run += refused ? 1 : 0;
        if (count > 1 || refused) {
            std::string at;
            for (const auto& r : d.runs) {
                at += r.id == id ? " " + r.server : std::string{};
            }
            d.record("order " + id + " ran " + std::to_string(count) + " times (" + at.substr(1) +
                     "), answered " + std::to_string(status));
        }
    }
    const auto line = "orders sent " + std::to_string(t.sent) + ", answered 200 " +
                      std::to_string(t.answered_ok) + ", refused as not run " +
                      std::to_string(t.answered_refused) + ", other " + std::to_string(t.other) +
                      "; ran more than once " + std::to_string(twice) + ", refused as not run but run " +
                      std::to_string(refused_but_run);
    d.record(line);
    std::cout << line << '\n';
    if (t.answered_ok < t.sent / 4) {
        co_return exit_not_run;
    }
    co_return twice > 0 || refused_but_run > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    deployment d{argc, argv};
    d.routes = {{"order", "/orders/", "non_idempotent", "printdesk", 2, 1.2}};
    for (int i = 0; i < 2; ++i) {
        auto& s = d.add_server("printdesk", 100);
        s.load_extra = ",100";
        s.work_time = [](const server::work&) { return 20ms; };
        s.sheds = [&d](const server::work&) { return in_trouble && d.unit() < rejected_share; };
        if (i == 0) {
            s.repeats_answer = [&d](const server::work&) { return in_trouble && d.unit() < repeated_share; };
        }
    }
    return d.run([&]() { return play(d); });
}
