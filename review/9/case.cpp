// The weights of a route change while one tenant is at its limit. Checked is CONFIG: no request that was sent
// later than ConfigApplyS after a version's acknowledgement is run by a service that only an older version
// allows.
#include "../7/stand_ins.h"

using namespace rv;

namespace {

constexpr double config_apply_s = 2;
constexpr double pause_s = 6; // Between two versions.
constexpr int versions = 14;

struct sent_request {
    double at = 0;
};
std::mutex mutex;
std::map<std::string, double> sent; // Id of a request, and when it was sent.
struct run {
    std::string id, service;
    double at = 0;
};
std::vector<run> runs;

void serve(conn& c, const message& m, server& s)
{
    const auto id = m.field("X-Wagtailhatch-Hatch-Request-Id");
    {
        const std::lock_guard lock{mutex};
        runs.push_back({id, s.service(), now()});
    }
    sleep_s(0.02);
    c.send(s.success(m, "run by " + s.service()));
}

/// The parts of the route in a version: the last version that named `old` is left for `old` and `new` in
/// turn.
std::vector<std::pair<std::string, double>> parts_of(int version)
{
    return version % 2 == 1 ? std::vector<std::pair<std::string, double>>{{"alpha", 50}, {"beta", 50}}
                            : std::vector<std::pair<std::string, double>>{{"gamma", 50}, {"beta", 50}};
}

bool allowed(int version, const std::string& service)
{
    const auto parts = parts_of(version);
    return std::any_of(parts.begin(), parts.end(), [&](const auto& p) { return p.first == service; });
}

} // namespace

int main()
{
    prepare("config");
    store platform{network + ".250", port.base};
    const std::vector<tenant> tenants{{"shop", "key-of-the-shop", 60, 10}};
    const auto document = [&](int version) {
        return configuration(static_cast<unsigned>(version),
                             {{"lookup", "/lookup/", "idempotent", 5, 1.2, 2, parts_of(version)}},
                             {"alpha", "beta", "gamma"}, tenants);
    };
    const std::vector<std::string> services{"alpha", "beta", "gamma"};
    std::vector<std::pair<int, double>> acknowledged; // Version and when it was acknowledged.
    platform.put("op", "config", document(1));
    acknowledged.emplace_back(1, now());
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::unique_ptr<server>> servers;
    for (int i = 1; i <= 3; ++i) {
        const auto zone = i == 3 ? "south" : "north";
        nodes.push_back(std::make_unique<node>(i, services.at(i - 1), zone));
        nodes.back()->start();
        servers.push_back(std::make_unique<server>(i, services.at(i - 1), zone, 100, serve));
        servers.back()->start_heartbeats();
    }
    for (const auto& n : nodes) {
        if (!n->wait_ready(15)) {
            std::puts("a node does not become ready");
            nodes.clear();
            finish(2);
        }
    }
    sleep_s(3);

    // The tenant asks for half more than its rate, at all machines.
    std::atomic<bool> stop{false};
    std::atomic<int> last_id{0};
    std::vector<std::thread> clients;
    std::map<int, int> statuses;
    constexpr double per_second = 90;
    constexpr int threads = 30;
    for (int i = 0; i < threads; ++i) {
        clients.emplace_back([&, i] {
            std::mt19937 random(static_cast<unsigned>(i));
            std::exponential_distribution<double> wait{per_second / threads};
            const int machine = i % 3 + 1;
            while (!stop) {
                sleep_s(wait(random));
                const auto id = "r" + std::to_string(++last_id);
                conn c{conn::dial(ip_of(machine), port.outbound())};
                const double at = now();
                {
                    const std::lock_guard lock{mutex};
                    sent[id] = at;
                }
                c.send(client_request("GET", "/lookup/" + id, id, tenants.front().key, 5000));
                const auto answer = c.read(now() + 5);
                rec("%s sent at %.3f to machine %d: %d %s", id.c_str(), at, machine, answer.status(),
                    answer.body.c_str());
                const std::lock_guard lock{mutex};
                ++statuses[answer.status()];
            }
        });
    }
    sleep_s(4);
    for (int version = 2; version <= versions && trouble(); ++version) {
        platform.put("op", "config", document(version));
        acknowledged.emplace_back(version, now());
        rec("version %d is acknowledged: the route goes to %s and beta", version,
            parts_of(version).front().first.c_str());
        sleep_s(pause_s);
    }
    if (!trouble()) {
        sleep_s(20);
    }
    stop = true;
    for (auto& c : clients) {
        c.join();
    }

    int wrong = 0;
    std::map<int, std::pair<int, int>> by_version;
    for (const auto& r : runs) {
        const double at = sent.at(r.id);
        // The newest version that binds the request, and any that may be in force later.
        std::size_t bound = 0;
        for (std::size_t i = 0; i < acknowledged.size(); ++i) {
            bound = acknowledged[i].second + config_apply_s < at ? i : bound;
        }
        bool fits = false;
        for (std::size_t i = bound; i < acknowledged.size() && acknowledged[i].second <= r.at; ++i) {
            fits = fits || allowed(acknowledged[i].first, r.service);
        }
        const bool judged = at > acknowledged[bound].second + config_apply_s;
        auto& [total, bad] = by_version[acknowledged[bound].first];
        total += judged ? 1 : 0;
        if (!fits) {
            ++wrong;
            ++bad;
            rec("BROKEN: %s, sent %.3f s after version %d was acknowledged, is run by %s", r.id.c_str(),
                at - acknowledged[bound].second, acknowledged[bound].first, r.service.c_str());
        }
    }
    for (const auto& [version, count] : by_version) {
        rec("version %d: %d requests sent later than %.0f s after it, %d of them run by a service of an "
            "older version",
            version, count.first, config_apply_s, count.second);
        std::printf("version %d: %d requests, %d run by the old service\n", version, count.first,
                    count.second);
    }
    for (const auto& [status, count] : statuses) {
        std::printf("status %d: %d\n", status, count);
    }
    bool all_run = true;
    for (const auto& n : nodes) {
        all_run = n->runs() && all_run;
    }
    std::printf("CONFIG %s: %d requests of %zu\n", wrong > 0 ? "broken" : "held", wrong, runs.size());
    rec("CONFIG %s: %d requests of %zu", wrong > 0 ? "broken" : "held", wrong, runs.size());
    nodes.clear();
    finish(!all_run || runs.empty() ? 2 : wrong > 0 ? 1 : 0);
}
