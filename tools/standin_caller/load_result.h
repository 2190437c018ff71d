#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wagtailhatch::standin {

/// Outcome of a request after its last attempt.
enum class request_outcome : std::uint8_t {
    whole,   ///< Success status with a complete body that belongs to the request.
    wrong,   ///< Success status, but the body or the target's signature is missing or does not match.
    not_run, ///< Not sent, or rejected with a status that guarantees no execution.
    unknown, ///< No response, or a response that leaves open whether the request was executed.
    failed,  ///< Answered by the target with an error status.
};

/// Request counts by outcome, for one path, one workspace or all requests.
struct request_outcome_counts {
    std::uint64_t requests = 0;
    std::uint64_t whole = 0;
    std::uint64_t wrong = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t failed = 0;

    void add(request_outcome e)
    {
        ++requests;
        whole += e == request_outcome::whole ? 1 : 0;
        wrong += e == request_outcome::wrong ? 1 : 0;
        not_run += e == request_outcome::not_run ? 1 : 0;
        unknown += e == request_outcome::unknown ? 1 : 0;
        failed += e == request_outcome::failed ? 1 : 0;
    }
    nlohmann::json json() const
    {
        return {{"requests", requests},       {"whole", whole},     {"wrong", wrong},
                {"refused_not_run", not_run}, {"unknown", unknown}, {"failed", failed}};
    }
};

/// Accumulates the caller's report: outcome counts and latency quantiles.
class load_result {
public:
    /// Records a completed request. `reason` is the status of the last attempt or the error that prevented a
    /// response. `latency` counts from the scheduled start (no coordinated omission).
    void on_completed(request_outcome e, const std::string& path, const std::string& workspace,
                      const std::string& reason, std::chrono::microseconds latency)
    {
        total_.add(e);
        by_path_[path].add(e);
        by_workspace_[workspace].add(e);
        if (!reason.empty()) {
            ++by_reason_[reason];
        }
        if (e == request_outcome::whole) {
            latencies_.push_back(latency.count());
        }
    }
    /// Records one attempt. `status` is the response status or the error message.
    void on_attempt(const std::string& status)
    {
        ++attempts_;
        ++by_status_[status];
    }

    /// Returns the report. Latencies are in microseconds and cover only the requests counted as whole.
    nlohmann::json json()
    {
        auto out = total_.json();
        out["attempts"] = attempts_;
        out["by_status"] = by_status_;
        out["by_reason"] = by_reason_;
        for (const auto& [path, counts] : by_path_) {
            out["by_path"][path] = counts.json();
        }
        for (const auto& [workspace, counts] : by_workspace_) {
            out["by_workspace"][workspace] = counts.json();
        }
        std::sort(latencies_.begin(), latencies_.end());
        out["latency_us"] = {{"p50", quantile(0.50)}, {"p99", quantile(0.99)}, {"max", quantile(1)}};
        return out;
    }

private:
    std::int64_t quantile(double q) const
    {
        if (latencies_.empty()) {
            return 0;
        }
        const auto last = static_cast<double>(latencies_.size() - 1);
        return latencies_[static_cast<std::size_t>(last * q)];
    }

    request_outcome_counts total_;
    std::map<std::string, request_outcome_counts> by_path_;
    std::map<std::string, request_outcome_counts> by_workspace_;
    std::map<std::string, std::uint64_t> by_status_; ///< Counts all attempts.
    std::map<std::string, std::uint64_t> by_reason_; ///< Counts the last attempt of each request.
    std::vector<std::int64_t> latencies_;            ///< Microseconds; only of requests counted as whole.
    std::uint64_t attempts_ = 0;
};

} // namespace wagtailhatch::standin
