#pragma once

#include "include/http/http_message.h"
#include "tools/standin_common/wire_names.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace wagtailhatch::standin {

/// Returns the value of the request id header, or an empty string.
inline std::string request_id(const http_request& request)
{
    const auto* id = find_header(request.headers, request_id_header);
    return id == nullptr ? std::string{} : *id;
}

/// Counts the requests that a target received and executed; tests use it to detect duplicate execution.
class ledger {
public:
    explicit ledger(std::string forbidden)
        : forbidden_{std::move(forbidden)}
    {
    }

    /// Counts the request and checks whether it carries credentials or the forbidden text.
    void received(const http_request& request)
    {
        ++requests_;
        authorization_ = authorization_ || find_header(request.headers, "Authorization") != nullptr;
        if (forbidden_.empty()) {
            return;
        }
        const auto contains = [this](const std::string& text) {
            return text.find(forbidden_) != std::string::npos;
        };
        forbidden_seen_ =
            forbidden_seen_ || contains(request.target) || contains(request.body) ||
            std::any_of(request.headers.begin(), request.headers.end(),
                        [&](const auto& header) { return contains(header.name) || contains(header.value); });
    }
    /// Counts an execution, by request id unless the id is empty.
    void ran(const std::string& request)
    {
        ++runs_;
        if (!request.empty()) {
            ++runs_by_id_[request];
        }
    }
    void abandoned() { ++abandoned_; }
    void expired() { ++expired_; }
    void answered() { ++answered_; }

    nlohmann::json report() const
    {
        return {{"requests", requests_},
                {"runs", runs_},
                {"answered", answered_},
                {"abandoned", abandoned_},
                {"expired", expired_},
                {"runs_by_id", runs_by_id_},
                {"authorization_seen", authorization_},
                {"forbidden_seen", forbidden_seen_}};
    }

private:
    std::string forbidden_;
    std::uint64_t requests_ = 0;
    std::uint64_t runs_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t abandoned_ = 0; ///< Caller disconnected while the request was queued; not executed.
    std::uint64_t expired_ = 0;   ///< Deadline passed while the request was queued; not executed.
    std::map<std::string, std::uint64_t> runs_by_id_;
    bool authorization_ = false;
    bool forbidden_seen_ = false;
};

} // namespace wagtailhatch::standin
