#include "tools/standin_platform/platform_store.h"

#include "src/core/base64.h"
#include "src/core/percent_encoding.h"
#include "tools/standin_common/split.h"

#include <algorithm>
#include <cstdlib>

namespace wagtailhatch::standin {
namespace {

using nlohmann::json;

constexpr std::size_t max_page_rows = 500;
constexpr std::chrono::milliseconds max_feed_wait{30'000};
constexpr std::chrono::seconds max_copy_age{20};
constexpr const char* operator_table = "op";

http_response json_response(int status, const json& body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

std::map<std::string, std::string> parse_query(const std::string& target)
{
    std::map<std::string, std::string> out;
    const auto at = target.find('?');
    if (at == std::string::npos) {
        return out;
    }
    for (const auto& part : split(std::string_view{target}.substr(at + 1), '&')) {
        const auto equals = std::min(part.find('='), part.size());
        const auto value = equals < part.size() ? part.substr(equals + 1) : std::string{};
        out[part.substr(0, equals)] = percent_decode(value).value_or("");
    }
    return out;
}

std::string query_value(const std::map<std::string, std::string>& query, const std::string& name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::string{} : found->second;
}

std::uint64_t query_number(const std::map<std::string, std::string>& query, const std::string& name)
{
    return std::strtoull(query_value(query, name).c_str(), nullptr, 10);
}

} // namespace

platform_store::platform_store(double writes_per_second, double reads_per_second)
    : writes_{writes_per_second, writes_per_second, {}}
    , reads_{reads_per_second, reads_per_second, {}}
{
}

bool platform_store::take_token(bucket& b, steady_time now)
{
    if (b.last_refill != steady_time{}) {
        const double seconds = std::chrono::duration<double>(now - b.last_refill).count();
        b.tokens = std::min(b.rate, b.tokens + seconds * b.rate);
    }
    b.last_refill = now;
    if (b.tokens < 1) {
        return false;
    }
    b.tokens -= 1;
    return true;
}

platform_store::response_callback platform_store::with_era(const response_callback& respond) const
{
    return [this, respond](http_response response) {
        response.headers.push_back({"Store-Era", std::to_string(era_)});
        respond(std::move(response));
    };
}

void platform_store::handle(const http_request& request, steady_time now,
                            const response_callback& respond_plain)
{
    now_ = now;
    const auto respond = with_era(respond_plain);
    const auto path = request.target.substr(0, request.target.find('?'));
    if (path == "/control") {
        control(json::parse(request.body, nullptr, false));
        respond({200, {}, {}});
        return;
    }
    // Operators write through a separate path, which is exempt from the injected faults and the rate limits.
    if (path == "/operator/rows-tx") {
        respond(transact(json::parse(request.body, nullptr, false)));
        return;
    }
    const bool write = path == "/api/rows-tx";
    if (faults_.silent) {
        unanswered_.push_back(respond);
        return;
    }
    if (faults_.status != 0 || !take_token(write ? writes_ : reads_, now)) {
        respond({faults_.status != 0 ? faults_.status : 429, {}, {}});
        return;
    }
    const auto query = parse_query(request.target);
    if (write) {
        const auto body = json::parse(request.body, nullptr, false);
        if (faults_.late_writes.count() > 0) {
            delayed_writes_.emplace_back(now + faults_.late_writes, body);
            return;
        }
        auto done = transact(body);
        if (!faults_.lose_answers) {
            respond(std::move(done));
        }
    }
    else if (path == "/api/rows-get") {
        respond(read(query));
    }
    else if (path == "/api/rows-feed") {
        long_poll(query, now, respond);
    }
    else {
        respond({404, {}, {}});
    }
}

http_response platform_store::transact(const json& body)
{
    if (!body.is_object()) {
        return {400, {}, {}};
    }
    json now = json::array();
    bool preconditions_hold = true;
    for (const auto& p : body.value("Precondition", json::array())) {
        const row_key key{p.value("Table", ""), p.value("Key", "")};
        const auto found = rows_.find(key);
        const auto version = found == rows_.end() || found->second.removed ? 0 : found->second.version;
        preconditions_hold = preconditions_hold && version == p.value("Ver", std::uint64_t{0});
        now.push_back({{"Table", key.first}, {"part", ""}, {"Key", key.second}, {"Ver", version}});
    }
    if (!preconditions_hold) {
        return json_response(412, {{"Rows", now}, {"Ver", version_}, {"NowS", 0}});
    }
    save_copy();
    ++version_;
    for (const auto& set : body.value("SetKeys", json::array())) {
        rows_[{set.value("Table", ""), set.value("Key", "")}] = {set.value("Value", ""), version_, false};
    }
    for (const auto& removal : body.value("Remove", json::array())) {
        rows_[{removal.value("Table", ""), removal.value("Key", "")}] = {{}, version_, true};
    }
    answer_feeds();
    return json_response(200, {{"Ver", version_}, {"NowS", 0}});
}

http_response platform_store::read(const std::map<std::string, std::string>& query) const
{
    json rows = json::array();
    const auto table = query_value(query, "Table");
    bool truncated = false;
    for (auto it = rows_.lower_bound({table, query_value(query, "From")}); it != rows_.end(); ++it) {
        if (it->first.first != table) {
            break;
        }
        if (rows.size() == max_page_rows) {
            truncated = true;
            break;
        }
        if (!it->second.removed) {
            rows.push_back({{"Table", table},
                            {"part", ""},
                            {"Key", it->first.second},
                            {"Value", it->second.value},
                            {"Ver", it->second.version}});
        }
    }
    return json_response(200, {{"Rows", rows}, {"Truncated", truncated}, {"Ver", version_}, {"NowS", 0}});
}

void platform_store::set_config(const std::string& document)
{
    save_copy();
    rows_[{"op", "config"}] = {encode_base64(document), ++version_, false};
    answer_feeds();
}

json platform_store::changes(const std::string& table, std::uint64_t after) const
{
    json rows = json::array();
    for (const auto& [key, row] : rows_) {
        if (key.first == table && row.version > after) {
            json entry{{"Table", table}, {"part", ""}, {"Key", key.second}, {"Ver", row.version}};
            if (row.removed) {
                entry["Tombstone"] = true;
            }
            else {
                entry["Value"] = row.value;
            }
            rows.push_back(entry);
        }
    }
    return rows;
}

void platform_store::long_poll(const std::map<std::string, std::string>& query, steady_time now,
                               const response_callback& respond)
{
    const auto after = query_number(query, "after");
    if (after < oldest_version_ || after > version_) {
        respond({410, {}, {}});
        return;
    }
    const auto table = query_value(query, "Table");
    auto rows = changes(table, after);
    if (!rows.empty()) {
        respond(json_response(200, {{"Rows", rows}, {"Ver", version_}, {"NowS", 0}}));
        return;
    }
    const auto wait = std::min<std::uint64_t>(query_number(query, "WaitMs"),
                                              static_cast<std::uint64_t>(max_feed_wait.count()));
    feeds_.push_back({table, after, now + std::chrono::milliseconds{wait}, respond});
}

void platform_store::answer_feeds()
{
    auto waiting = std::exchange(feeds_, {});
    for (auto& feed : waiting) {
        auto rows = changes(feed.table, feed.after);
        if (rows.empty() || faults_.silent) {
            feeds_.push_back(std::move(feed));
        }
        else {
            feed.respond(json_response(200, {{"Rows", rows}, {"Ver", version_}, {"NowS", 0}}));
        }
    }
}

void platform_store::tick(steady_time now)
{
    now_ = now;
    while (!delayed_writes_.empty() && delayed_writes_.front().first <= now) {
        transact(delayed_writes_.front().second);
        delayed_writes_.pop_front();
    }
    auto waiting = std::exchange(feeds_, {});
    for (auto& feed : waiting) {
        if (feed.until <= now && !faults_.silent) {
            feed.respond(json_response(200, {{"Rows", json::array()}, {"Ver", version_}, {"NowS", 0}}));
        }
        else {
            feeds_.push_back(std::move(feed));
        }
    }
}

void platform_store::control(const json& body)
{
    if (!body.is_object()) {
        return;
    }
    faults_.status = body.value("status", 0);
    faults_.silent = body.value("silent", false);
    faults_.lose_answers = body.value("lose_answers", false);
    faults_.delay = std::chrono::milliseconds{body.value("delay_ms", 0)};
    faults_.late_writes = std::chrono::milliseconds{body.value("late_writes_ms", 0)};
    if (body.value("drop_history", false)) {
        oldest_version_ = version_ + 1;
    }
    if (const auto age = body.value("restore_ms", 0); age > 0) {
        restore(std::chrono::milliseconds{age});
    }
}

void platform_store::save_copy()
{
    while (!copies_.empty() && now_ - copies_.front().made > max_copy_age) {
        copies_.pop_front();
    }
    copies_.push_back({now_, rows_, version_});
}

void platform_store::restore(std::chrono::milliseconds age)
{
    const auto first_lost =
        std::find_if(copies_.begin(), copies_.end(), [&](const copy& c) { return c.made > now_ - age; });
    ++era_;
    // The connections of waiting calls end.
    feeds_.clear();
    if (first_lost == copies_.end()) {
        return;
    }
    const auto lost = std::exchange(rows_, first_lost->rows);
    version_ = first_lost->version;
    copies_.erase(first_lost, copies_.end());
    for (const auto& [key, row] : lost) {
        const auto now = rows_.find(key);
        const bool differs = now == rows_.end() ? !row.removed : now->second.version != row.version;
        if (key.first == operator_table && differs) {
            save_copy();
            rows_[key] = {row.value, ++version_, row.removed};
        }
    }
}

} // namespace wagtailhatch::standin
