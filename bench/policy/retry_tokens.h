#pragma once

#include <cstdint>
#include <map>

namespace wagtailhatch {

/// Retry budget of one request at one node. Each call lends all tokens to the callee, and its answer returns
/// the unused ones, so the total over the whole call chain never exceeds the initial number. If the answer is
/// lost, so are the tokens that were lent.
class retry_tokens {
public:
    using loan_id = std::uint64_t;

    struct loan {
        loan_id id = 0;
        std::uint32_t tokens = 0; ///< Tokens that the call may use.
    };

    /// tokens: received with the request or, at the entry node, the configured number.
    explicit retry_tokens(std::uint32_t tokens)
        : available_{tokens}
    {
    }

    /// Lends all available tokens. Calls made in parallel get none.
    loan lend();

    /// Takes back the tokens returned with an answer. Tokens beyond those lent, and repeated answers, are
    /// ignored.
    void return_tokens(loan_id id, std::uint32_t tokens);

    /// Writes off the tokens of a call that ended without an answer.
    void write_off(loan_id id) { loans_.erase(id); }

    /// Spends one token for another attempt; false if none is available.
    bool spend();

    /// Tokens available at this node. To return them with this node's answer, which ends the request here,
    /// use close().
    std::uint32_t available() const { return available_; }

    /// Takes all available tokens for the answer; tokens returned later are ignored.
    std::uint32_t close();

private:
    std::uint32_t available_;
    std::uint64_t next_loan_ = 1;
    bool closed_ = false;
    std::map<loan_id, std::uint32_t> loans_;
};

} // namespace wagtailhatch
