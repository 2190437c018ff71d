#include "bench/policy/retry_tokens.h"

#include <algorithm>
#include <utility>

namespace wagtailhatch {

retry_tokens::loan retry_tokens::lend()
{
    const loan given{next_loan_++, available_};
    if (given.tokens > 0) {
        loans_.emplace(given.id, given.tokens);
    }
    available_ = 0;
    return given;
}

void retry_tokens::return_tokens(loan_id id, std::uint32_t tokens)
{
    const auto it = loans_.find(id);
    if (it == loans_.end()) {
        return;
    }
    if (!closed_) {
        available_ += std::min(tokens, it->second);
    }
    loans_.erase(it);
}

bool retry_tokens::spend()
{
    if (available_ == 0) {
        return false;
    }
    --available_;
    return true;
}

std::uint32_t retry_tokens::close()
{
    closed_ = true;
    loans_.clear();
    return std::exchange(available_, 0);
}

} // namespace wagtailhatch
