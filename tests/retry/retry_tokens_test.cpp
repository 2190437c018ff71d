#include "include/retry/retry_tokens.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace wagtailhatch;

namespace {

// Runs a chain with random fan-out, lost answers and late second answers, where every call wants to retry.
// Counts all retries that are made.
std::uint32_t run_chain(std::uint32_t tokens, int depth, std::uint32_t& retries)
{
    retry_tokens own{tokens};
    const int calls = depth == 0 ? 0 : *rc::gen::inRange(0, 4);
    std::vector<retry_tokens::loan> parallel;
    for (int i = 0; i < calls; ++i) {
        const auto loan = own.lend();
        const auto rest = run_chain(loan.tokens, depth - 1, retries);
        const auto fate = *rc::gen::inRange(0, 4);
        if (fate == 0) {
            own.lose(loan.id);
        }
        else if (fate == 1) {
            parallel.push_back({loan.id, rest});
        }
        else {
            own.give_back(loan.id, rest);
            own.give_back(loan.id, rest + 5);
        }
        if (own.spend()) {
            ++retries;
        }
    }
    for (const auto& p : parallel) {
        own.give_back(p.id, p.tokens);
    }
    return own.close();
}

} // namespace

// Guards against retries that multiply per hop.
TEST_CASE("retry tokens are lent whole, returned once and spent once")
{
    retry_tokens tokens{2};
    const auto first = tokens.lend();
    CHECK(first.tokens == 2);
    CHECK_FALSE(tokens.spend());
    CHECK(tokens.lend().tokens == 0);
    tokens.give_back(first.id, 9);
    CHECK(tokens.available() == 2);
    tokens.give_back(first.id, 2);
    CHECK(tokens.available() == 2);
    CHECK(tokens.spend());
    CHECK(tokens.close() == 1);
    CHECK_FALSE(tokens.spend());
}

// Guards against a callee's answer that arrives after this request was answered and would count twice.
TEST_CASE("retry tokens that come back after the answer count nothing")
{
    retry_tokens tokens{1};
    const auto loan = tokens.lend();
    CHECK(tokens.close() == 0);
    tokens.give_back(loan.id, 1);
    CHECK(tokens.available() == 0);
}

// Guards against any way of making more extra attempts in a chain than the start value.
TEST_CASE("retry tokens bound the retries of the whole chain")
{
    rc::prop("fan-out, lost and repeated answers", [] {
        const auto start = *rc::gen::inRange<std::uint32_t>(0, 4);
        std::uint32_t retries = 0;
        const auto rest = run_chain(start, 5, retries);
        RC_ASSERT(retries + rest <= start);
    });
}
