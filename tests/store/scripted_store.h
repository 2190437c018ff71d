#pragma once

#include "include/store/row_store.h"

#include <deque>
#include <functional>

namespace wagtailhatch::test {

/// Fake store that queues calls until the test completes them.
class scripted_store final : public row_store {
public:
    void read(const std::string&, const std::string& from, std::chrono::milliseconds timeout,
              std::function<void(result<store_page>)> done) override
    {
        last_timeout = timeout;
        read_from = from;
        reads.push_back(std::move(done));
    }
    void follow(const std::string&, std::uint64_t after, std::chrono::milliseconds wait,
                std::chrono::milliseconds timeout, std::function<void(result<store_page>)> done) override
    {
        last_timeout = wait + timeout;
        followed_after = after;
        follows.push_back(std::move(done));
    }
    void commit(const store_transaction& transaction,
                std::function<void(result<store_position>)> done) override
    {
        last_transaction = transaction;
        writes.push_back(std::move(done));
    }

    std::deque<std::function<void(result<store_page>)>> reads;
    std::deque<std::function<void(result<store_page>)>> follows;
    std::deque<std::function<void(result<store_position>)>> writes;
    store_transaction last_transaction;
    std::uint64_t followed_after = 0;
    std::string read_from;                    ///< First key of the newest read().
    std::chrono::milliseconds last_timeout{}; ///< Of the newest read() or follow(), with its long poll.
};

/// Completes the oldest queued call of one kind.
template <class Calls, class Answer>
void answer_oldest(Calls& calls, Answer answer)
{
    const auto done = std::move(calls.front());
    calls.pop_front();
    done(std::move(answer));
}

} // namespace wagtailhatch::test
