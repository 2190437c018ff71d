#pragma once

#include "include/core/call_context.h"
#include "include/retry/retry_tokens.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace wagtailhatch {

/// What the node remembers of a request that its target is running. Outgoing calls of the target
/// share it. Traffic thread only.
struct active_call {
    call_context context;
    std::shared_ptr<retry_tokens> retries; ///< Shared by all outgoing calls.
    bool downstream_refused = false;       ///< A call further down was refused.
    std::uint64_t outgoing_calls = 0;      ///< Numbers the calls, to derive their idempotency keys.
    std::uint32_t outgoing_active = 0;
    steady_time outgoing_since{}; ///< When outgoing_active last rose from 0.
    duration outgoing_time{};     ///< Time with at least one outgoing call.
};

/// Live handles of the requests in flight at this node's target. A handle is 128 random bits, so a
/// target cannot guess one of another workspace; it is erased when its request ends.
class handle_table {
public:
    /// Stores the call and returns its handle.
    std::string insert(std::shared_ptr<active_call> call);

    /// The live call, or nullptr.
    std::shared_ptr<active_call> find(const std::string& handle) const;

    void erase(const std::string& handle);
    std::size_t size() const { return calls_.size(); }

private:
    std::unordered_map<std::string, std::shared_ptr<active_call>> calls_;
};

} // namespace wagtailhatch
