#pragma once

#include "include/core/clock.h"
#include "include/http/http_message.h"
#include "src/platform/percent_encoding.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wagtailhatch::standin {

/// Requests a second, with bursts of one second's worth.
class request_rate {
public:
    explicit request_rate(double rate)
        : rate_{rate}
        , tokens_{rate}
    {
    }
    bool take(steady_time now)
    {
        if (last_ != steady_time{}) {
            tokens_ = std::min(rate_, tokens_ + rate_ * std::chrono::duration<double>(now - last_).count());
        }
        last_ = now;
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    double rate_;
    double tokens_;
    steady_time last_{};
};

/// Faults that tests switch on while the platform runs.
struct platform_faults {
    bool outage = false;
    std::uint64_t lose_write_answers = 0; ///< Writes that take effect and are not answered.
    std::chrono::milliseconds stale_reads{0};
    std::chrono::milliseconds delay{0};
};

/// In-memory table and object store behind the platform's HTTP interface. Time is passed in.
class platform_store {
public:
    platform_store(double writes_per_second, double reads_per_second)
        : writes_{writes_per_second}
        , reads_{reads_per_second}
    {
    }

    /// The answer, or nothing if the answer is to be lost.
    std::optional<http_response> handle(const http_request& request, steady_time now)
    {
        const auto query = request.target.find('?');
        const auto path = request.target.substr(0, query);
        if (path == "/control") {
            return control(request);
        }
        const bool write = request.method == "PUT";
        if (!write && request.method != "GET") {
            return status(405);
        }
        if (faults_.outage || !(write ? writes_ : reads_).take(now)) {
            ++refused_;
            return http_response{503, {{"Retry-After", "1"}}, {}};
        }
        ++(write ? write_count_ : read_count_);
        if (path == "/table" && !write) {
            return list(query == std::string::npos ? "" : request.target.substr(query + 1), now);
        }
        if (path.starts_with("/table/")) {
            return on_name(path.substr(7), [&](const std::string& key) {
                return write ? write_row(key, request, now) : read_row(key, now);
            });
        }
        if (path.starts_with("/object/")) {
            return on_name(path.substr(8), [&](const std::string& name) {
                return write ? put_object(name, request.body) : get_object(name);
            });
        }
        return status(404);
    }

    const platform_faults& faults() const { return faults_; }

private:
    struct row_version {
        steady_time written;
        std::string value;
        std::string etag;
    };
    using answer = std::optional<http_response>;

    static http_response status(int code) { return http_response{code, {}, {}}; }

    template <typename Operation>
    static answer on_name(const std::string& encoded, Operation operation)
    {
        const auto name = percent_decode(encoded);
        return name && !name->empty() ? operation(*name) : answer{status(400)};
    }

    const row_version* visible(const std::vector<row_version>& versions, steady_time now) const
    {
        const auto after = std::find_if(versions.begin(), versions.end(), [&](const row_version& v) {
            return v.written > now - faults_.stale_reads;
        });
        return after == versions.begin() ? nullptr : &*std::prev(after);
    }

    answer read_row(const std::string& key, steady_time now) const
    {
        const auto found = rows_.find(key);
        const auto* version = found == rows_.end() ? nullptr : visible(found->second, now);
        if (version == nullptr) {
            return status(404);
        }
        return http_response{200, {{"ETag", version->etag}}, version->value};
    }

    answer list(const std::string& query, steady_time now) const
    {
        const auto prefix = query.starts_with("prefix=") ? percent_decode(query.substr(7)) : std::nullopt;
        if (!prefix) {
            return status(400);
        }
        auto rows = nlohmann::json::array();
        for (auto it = rows_.lower_bound(*prefix); it != rows_.end() && it->first.starts_with(*prefix);
             ++it) {
            if (const auto* version = visible(it->second, now)) {
                rows.push_back({{"key", it->first}, {"value", version->value}, {"etag", version->etag}});
            }
        }
        return http_response{
            200, {{"Content-Type", "application/json"}}, nlohmann::json{{"rows", std::move(rows)}}.dump()};
    }

    answer write_row(const std::string& key, const http_request& request, steady_time now)
    {
        const auto* none = find_header(request.headers, "If-None-Match");
        const auto* match = find_header(request.headers, "If-Match");
        if ((none == nullptr) == (match == nullptr) || (none != nullptr && *none != "*")) {
            return status(428);
        }
        if (!is_json_text(key) || !is_json_text(request.body)) {
            return status(400);
        }
        const auto found = rows_.find(key);
        const bool exists = found != rows_.end();
        if (none != nullptr ? exists : !exists || found->second.back().etag != *match) {
            return status(412);
        }
        const auto etag = "\"" + std::to_string(++last_etag_) + "\"";
        rows_[key].push_back(row_version{now, request.body, etag});
        return unless_lost(http_response{exists ? 200 : 201, {{"ETag", etag}}, {}});
    }

    answer put_object(const std::string& name, const std::string& content)
    {
        const auto [entry, added] = objects_.try_emplace(name, content);
        if (!added && entry->second != content) {
            return status(409);
        }
        return unless_lost(status(added ? 201 : 200));
    }

    answer get_object(const std::string& name) const
    {
        const auto found = objects_.find(name);
        return found == objects_.end() ? status(404) : http_response{200, {}, found->second};
    }

    answer unless_lost(http_response response)
    {
        if (faults_.lose_write_answers > 0) {
            --faults_.lose_write_answers;
            return std::nullopt;
        }
        return response;
    }

    /// Lists are JSON, which carries UTF-8 only.
    static bool is_json_text(const std::string& text)
    {
        try {
            nlohmann::json(text).dump();
            return true;
        }
        catch (const nlohmann::json::exception&) {
            return false;
        }
    }

    answer control(const http_request& request)
    {
        if (request.method == "POST") {
            const auto json = nlohmann::json::parse(request.body, nullptr, false);
            if (!json.is_object()) {
                return status(400);
            }
            try {
                faults_.outage = json.value("outage", faults_.outage);
                faults_.lose_write_answers = json.value("lose_write_answers", faults_.lose_write_answers);
                faults_.stale_reads =
                    std::chrono::milliseconds{json.value("stale_reads_ms", faults_.stale_reads.count())};
                faults_.delay = std::chrono::milliseconds{json.value("delay_ms", faults_.delay.count())};
            }
            catch (const nlohmann::json::exception&) {
                return status(400);
            }
        }
        const nlohmann::json counts{
            {"reads", read_count_}, {"writes", write_count_}, {"refused", refused_}, {"rows", rows_.size()}};
        return http_response{200, {{"Content-Type", "application/json"}}, counts.dump()};
    }

    std::map<std::string, std::vector<row_version>> rows_;
    std::map<std::string, std::string> objects_;
    request_rate writes_;
    request_rate reads_;
    platform_faults faults_;
    std::uint64_t last_etag_ = 0;
    std::uint64_t read_count_ = 0;
    std::uint64_t write_count_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace wagtailhatch::standin
