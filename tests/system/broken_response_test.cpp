#include "src/core/socket_address.h"
#include "tests/http/early_server.h"
#include "tests/system/deployment.h"
#include "tools/standin_common/wire_names.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <mutex>
#include <set>
#include <thread>

using namespace wagtailhatch;
using namespace wagtailhatch::test;
using namespace wagtailhatch::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t upload_size = 6'000'000;
constexpr std::size_t body_size = 8000;
const std::string whole_body(body_size, 'b');

/// A way to spoil a response.
struct spoilt_form {
    std::string what;
    std::string status = "200 OK";
    std::string fields{};    ///< Header lines besides id and mark, each with its line end.
    std::size_t part = 3000; ///< Bytes of the body that are sent.
    answer_end end = answer_end::reset;
    std::chrono::milliseconds delay{};
    std::size_t read_size = 0;
    std::size_t upload = upload_size; ///< Bytes of the request's body.
};

std::string value_of(const std::string& head, const std::string& name)
{
    const auto at = head.find(name + ": ");
    const auto begin = at + name.size() + 2;
    return at == std::string::npos ? std::string{} : head.substr(begin, head.find('\r', begin) - begin);
}

/// Target of a node that spoils every second response. Runs on a thread of its own.
class spoiling_target {
public:
    spoiling_target(const deployment::machine& m, spoilt_form form)
        : machine_{m}
        , instance_{"i-spoiling-" + m.name}
        , form_{std::move(form)}
        , server_{io_, parse_address(m.target_address()).value(),
                  [this](const std::string& request) { return answer(request); }}
        , thread_{[this] { io_.run(); }}
        , heartbeats_{[this] { announce(); }}
    {
    }
    ~spoiling_target() { stop(); }
    spoiling_target(const spoiling_target&) = delete;
    spoiling_target& operator=(const spoiling_target&) = delete;

    /// Ends the threads. The results are read after that.
    void stop()
    {
        if (stopping_.exchange(true)) {
            return;
        }
        heartbeats_.join();
        io_.stop();
        thread_.join();
    }

    /// Number of spoilt responses.
    std::size_t spoilt() const { return spoilt_; }

    /// Ids of the requests that have arrived, once for each arrival.
    const std::multiset<std::string>& arrived() const { return arrived_; }

private:
    early_answer answer(const std::string& request)
    {
        using namespace standin;
        const auto head_size = request.find("\r\n\r\n") + 4;
        const std::string own = std::string{request_id_header} + ": " + value_of(request, request_id_header) +
                                "\r\n" + instance_header + ": " + instance_ + "\r\n";
        if (request.rfind("GET /healthz", 0) == 0) {
            return {"HTTP/1.1 200 OK\r\n" + own + "Content-Length: 0\r\n\r\n", answer_end::end};
        }
        arrived_.insert(value_of(request, request_id_header));
        const auto head = own + signature_header + ": mark\r\n";
        if (requests_++ % 2 == 0) {
            const auto length = std::stoul(value_of(request, "Content-Length"));
            return {"HTTP/1.1 200 OK\r\n" + head + "\r\n" + whole_body, answer_end::end, 0ms,
                    head_size + length};
        }
        ++spoilt_;
        return {"HTTP/1.1 " + form_.status + "\r\n" + head + form_.fields + "\r\n" +
                    std::string(form_.part, 'b'),
                form_.end, form_.delay, form_.read_size};
    }

    void announce()
    {
        for (std::uint64_t sequence = 1; !stopping_; ++sequence) {
            send_heartbeat(machine_, instance_, sequence);
            std::this_thread::sleep_for(200ms);
        }
    }

    const deployment::machine& machine_;
    std::string instance_;
    spoilt_form form_;
    std::size_t requests_ = 0;
    std::multiset<std::string> arrived_;
    std::size_t spoilt_ = 0;
    std::atomic<bool> stopping_ = false;
    asio::io_context io_{1};
    early_server server_;
    std::thread thread_;
    std::thread heartbeats_;
};

struct result_counts {
    std::size_t whole = 0;
    std::size_t broken = 0; ///< Success without the whole body of the target, or another field of its.
    std::size_t failed = 0;
    std::size_t spoilt = 0;
    std::size_t repeated = 0;      ///< Requests that reached a target more than once.
    std::size_t false_not_run = 0; ///< Told as not run, though they had reached a target.
    std::set<std::string> not_run; ///< Ids that were told as not run.
    std::string example;           ///< A broken one.
};

void count(result_counts& counts, const std::string& id, const http_result& r)
{
    const int status = r.response.status;
    const bool odd = r.ok && status < 500 &&
                     std::any_of(r.response.headers.begin(), r.response.headers.end(), [](const auto& field) {
                         return field.value.find("spoilt") != std::string::npos;
                     });
    if (r.ok && status == 200 && r.response.body == whole_body && !odd) {
        ++counts.whole;
    }
    else if (r.ok && (status < 400 || odd)) {
        ++counts.broken;
        counts.example =
            std::to_string(status) + " with " + std::to_string(r.response.body.size()) + " bytes";
    }
    else if (r.ok && (status == 503 || status == 429 || status == 408 || status == 421)) {
        counts.not_run.insert(id);
    }
    else {
        ++counts.failed;
    }
}

/// Two of four nodes have a target that spoils its responses; callers upload through all nodes. order: the
/// requests are not idempotent.
result_counts upload_through(const spoilt_form& form, bool order)
{
    constexpr int callers = 4;
    constexpr int uploads = 6; ///< Of each caller.
    deployment d;
    d.configure(example_config(1));
    for (const auto* name : {"f1", "f2"}) {
        d.add(name, "front", name == std::string{"f1"} ? "north" : "south");
    }
    d.add("b1", "back", "north");
    d.add("b2", "back", "south");
    REQUIRE(d.wait_until_serving());
    std::vector<std::unique_ptr<spoiling_target>> targets;
    for (const auto* name : {"f1", "f2"}) {
        auto& m = d.at(name);
        m.target.signal(SIGKILL);
        m.target.wait_exit(5s);
        targets.push_back(std::make_unique<spoiling_target>(m, form));
    }
    REQUIRE(eventually([&] {
        return d.request(d.at("b1"), "POST", "/front/x", "first").response.status == 200 &&
               d.request(d.at("b2"), "POST", "/front/x", "second").response.status == 200;
    }));
    result_counts counts;
    std::mutex guard;
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            const auto& node = d.at(std::array{"f1", "f2", "b1", "b2"}.at(caller));
            for (int i = 0; i < uploads; ++i) {
                const auto id = std::to_string(caller) + "-" + std::to_string(i);
                http_request upload{"POST",
                                    (order ? "/order/" : "/front/") + id,
                                    {{"Host", "shop.example"},
                                     {standin::request_id_header, id},
                                     {standin::deadline_header, "5000"},
                                     {"Authorization", "Bearer " + deployment::key()}},
                                    std::string(form.upload, 'u')};
                const auto r = send(node.callers(), std::move(upload), 10s);
                const std::lock_guard lock{guard};
                count(counts, id, r);
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    std::multiset<std::string> arrived;
    for (const auto& target : targets) {
        target->stop();
        counts.spoilt += target->spoilt();
        arrived.insert(target->arrived().begin(), target->arrived().end());
    }
    for (const auto& id : std::set<std::string>{arrived.begin(), arrived.end()}) {
        counts.repeated += arrived.count(id) > 1 ? 1 : 0;
        counts.false_not_run += counts.not_run.contains(id) ? 1 : 0;
    }
    return counts;
}

void check_forms(const std::vector<spoilt_form>& forms)
{
    for (const auto& form : forms) {
        for (const bool order : {false, true}) {
            const auto counts = upload_through(form, order);
            INFO(form.what << (order ? ", order" : "") << ": " << counts.whole << " whole, " << counts.broken
                           << " broken, " << counts.not_run.size() << " not run, " << counts.failed
                           << " failed, " << counts.spoilt << " spoilt, " << counts.repeated << " repeated; "
                           << counts.example);
            CHECK(counts.spoilt > 0);
            CHECK(counts.whole > 0);
            CHECK(counts.broken == 0);
            CHECK(counts.false_not_run == 0);
            CHECK((!order || counts.repeated == 0));
        }
    }
}

} // namespace

// A target answers a long upload at once without a length, sends a part of the body and resets the connection
// while the upload is still being written. Guards against callers that get the part as a whole response
// (MIXED).
TEST_CASE("no response that is reset during the upload reaches a caller as complete")
{
    check_forms({{.what = "reset after 30 ms", .delay = 30ms},
                 {.what = "reset after 2 ms, 64 KB read", .delay = 2ms, .read_size = 65'536},
                 {.what = "reset at once"},
                 {.what = "reset after 30 ms, 150,000 bytes", .part = 150'000, .delay = 30ms},
                 {.what = "ended, then reset", .end = answer_end::end_then_reset, .delay = 10ms}});
}

// A target in trouble writes a blank or a control byte into the name of a field, or folds a line. Guards
// against callers that get the line, or a body that is framed by it.
TEST_CASE("no response with a broken field name reaches a caller")
{
    constexpr std::size_t small_upload = 1000;
    const std::string length = "Content-Length: 8000\r\n";
    std::vector<spoilt_form> forms;
    for (const std::string& fields :
         {"X Note: spoilt\r\n" + length, "X-Note : spoilt\r\n" + length, "X\x01Note: spoilt\r\n" + length,
          "X-Note: a\r\n b spoilt\r\n" + length, std::string{"Content-Length : 3\r\n"},
          std::string{"Content Length: 8000\r\nX-Note: spoilt\r\n"}}) {
        forms.push_back({.what = fields,
                         .fields = fields,
                         .part = body_size,
                         .end = answer_end::end,
                         .upload = small_upload});
    }
    check_forms(forms);
}
