// Case: the nodes of a zone are stopped and started in turn while clients send orders that take under two
// seconds. An order that a stopping node takes later than 3 s after its SIGTERM and passes on is broken off
// at the node's end.
#include "../1/server.h"

#include <algorithm>

using namespace review;

namespace {

constexpr int workers_per_machine = 12;
constexpr int work_ms = 1900;
constexpr double deadline_s = 6;  ///< The clients' deadline.
constexpr double timeout_s = 2.5; ///< The route's TimeoutS.
constexpr double grace_s = 6;
constexpr double excused_until_s = 3; ///< Orders sent no later than this after the SIGTERM may be broken off.
constexpr double case_s = 16;

/// What the platform knows of one machine.
struct host {
    machine at;
    std::unique_ptr<readiness_checks> checks;
    std::atomic<double> stopped{-1}; ///< When its node got SIGTERM; negative while it runs.
};

struct order {
    std::string id;
    const host* at = nullptr;
    double sent = 0;
    double ended = 0;
    double sigterm = -1; ///< SIGTERM of the node that took it.
    std::string answer;
    int status = 0;
};

class zone_clients {
public:
    zone_clients(std::vector<std::unique_ptr<host>>& hosts, record& to)
        : hosts_{hosts}
        , record_{to}
    {
        for (auto& h : hosts_) {
            for (int i = 0; i < workers_per_machine; ++i) {
                threads_.emplace_back([this, &h, i] { work(*h, i); });
            }
        }
    }

    /// Clients get no new work on a machine that is out, unless fewer than half of the zone's nodes are in.
    bool may_send(const host& h) const
    {
        const auto in =
            std::count_if(hosts_.begin(), hosts_.end(), [](const auto& x) { return x->checks->in(); });
        return h.checks->in() || 2 * static_cast<std::size_t>(in) < hosts_.size();
    }

    std::vector<order> finish()
    {
        stop_ = true;
        for (auto& t : threads_) {
            t.join();
        }
        return orders_;
    }

private:
    void work(host& h, int number)
    {
        std::this_thread::sleep_for(milliseconds{work_ms / workers_per_machine * number});
        connection c;
        for (int n = 0; !stop_; ++n) {
            if (!may_send(h)) {
                c.shut();
                std::this_thread::sleep_for(milliseconds{20});
                continue;
            }
            if (!c.is_open()) {
                c = connection::open(h.at.outbound());
            }
            if (!c.is_open()) {
                std::this_thread::sleep_for(milliseconds{100});
                continue;
            }
            send_order(h, h.at.name + "-w" + std::to_string(number) + "-" + std::to_string(n), c);
        }
    }

    void send_order(host& h, const std::string& id, connection& c)
    {
        const std::string body(4000, 'o');
        order o;
        o.id = id;
        o.at = &h;
        const bool sent = c.write(
            "POST /job/order?ms=" + std::to_string(work_ms) +
            "&bytes=400 HTTP/1.1\r\nHost: orders.example\r\nX-Wagtailhatch-Hatch-Request-Id: " + id +
            "\r\nX-Wagtailhatch-Hatch-Deadline-Ms: 6000\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body);
        o.sent = record_.seconds();
        record_.line("client sends %s", id.c_str());
        const auto answer =
            sent ? read_message(c, steady::now() + milliseconds{static_cast<int>(deadline_s * 1000)})
                 : std::nullopt;
        o.ended = record_.seconds();
        o.sigterm = h.stopped;
        o.status = answer ? answer->status() : 0;
        o.answer = answer ? answer->first_line : "no whole answer";
        record_.line("client has for %s: %s%s", id.c_str(), o.answer.c_str(),
                     answer && answer->header("x-wagtailhatch-hatch-signature").empty() ? " (the node's own)"
                                                                                        : "");
        if (!answer || answer->header("connection") == "close") {
            c.shut();
        }
        if (o.status != 200) {
            const auto wait = answer ? std::atof(answer->header("retry-after").c_str()) : 0.0;
            std::this_thread::sleep_for(std::chrono::duration<double>(std::max(wait, 0.2)));
        }
        const std::lock_guard lock{mutex_};
        orders_.push_back(o);
    }

    std::vector<std::unique_ptr<host>>& hosts_;
    record& record_;
    std::mutex mutex_;
    std::vector<order> orders_;
    std::atomic<bool> stop_{false};
    std::vector<std::thread> threads_;
};

/// Stops the nodes in turn, one second apart, and starts each again when it has ended.
void roll(fleet& f, std::vector<std::unique_ptr<host>>& hosts, record& to)
{
    std::vector<std::thread> stops;
    for (auto& h : hosts) {
        stops.emplace_back([&f, &h, &to] {
            auto& node = f.node(h->at.name);
            node.signal(SIGTERM);
            h->stopped = to.seconds();
            to.line("SIGTERM to the node of %s", h->at.name.c_str());
            while (!node.ended()) {
                if (to.seconds() > h->stopped + grace_s) {
                    node.kill_now();
                }
                std::this_thread::sleep_for(milliseconds{5});
            }
            to.line("the node of %s has ended, status %d", h->at.name.c_str(), node.status());
            std::this_thread::sleep_for(milliseconds{300});
            h->stopped = -1;
            node.start();
        });
        std::this_thread::sleep_for(std::chrono::seconds{1});
    }
    for (auto& t : stops) {
        t.join();
    }
}

} // namespace

int main(int argc, char** argv)
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    record log{std::string{argc > 2 ? argv[2] : "record.txt"}};
    fleet f{folder, log};
    std::vector<std::unique_ptr<host>> hosts;
    for (const auto* name : {"portal-1", "portal-2", "portal-3"}) {
        hosts.push_back(std::make_unique<host>());
        hosts.back()->at = f.add(name, "zone-a", "portal");
    }
    f.add("orders-1", "zone-b", "orders");
    f.add("orders-2", "zone-b", "orders");
    if (!log.ok() ||
        !f.start(configuration_text({{"orders.example", "non_idempotent", timeout_s, "orders", 2}},
                                    {"portal", "orders"}))) {
        return not_run;
    }
    for (auto& h : hosts) {
        h->checks = std::make_unique<readiness_checks>(h->at);
    }
    std::this_thread::sleep_for(std::chrono::seconds{1});
    zone_clients clients{hosts, log};
    std::this_thread::sleep_for(std::chrono::seconds{3});
    const auto begun = log.seconds();
    if (with_trouble()) {
        roll(f, hosts, log);
    }
    while (log.seconds() < begun + case_s) {
        std::this_thread::sleep_for(milliseconds{50});
    }
    const auto orders = clients.finish();
    int lost = 0;
    int whole = 0;
    for (const auto& o : orders) {
        whole += o.status == 200 ? 1 : 0;
        const auto runs = f.ledger.of(o.id);
        const bool answered_by_server = o.status != 0 && o.answer.find("200") != std::string::npos;
        if (answered_by_server || runs.empty() || o.sigterm < 0 || o.ended - o.sent >= timeout_s) {
            continue;
        }
        const double after = o.sent - o.sigterm;
        const bool at_work = runs.back().ended == 0 || runs.back().ended > o.ended;
        const bool counted = after > excused_until_s && after < grace_s + 1 && at_work;
        log.line(
            "%s: sent %.3f s after the SIGTERM, passed on to %s, ended %.3f s after the SIGTERM with: %s%s",
            o.id.c_str(), after, runs.back().server.c_str(), o.ended - o.sigterm, o.answer.c_str(),
            counted ? ": LOST" : ", not counted");
        lost += counted ? 1 : 0;
    }
    log.line("%zu orders, %d answered 200, %d lost", orders.size(), whole, lost);
    std::printf("%zu orders, %d answered 200, %d lost\n", orders.size(), whole, lost);
    std::fflush(nullptr);
    hosts.clear();
    return lost > 0 ? broken : held;
}
