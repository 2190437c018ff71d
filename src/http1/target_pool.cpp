#include "src/http1/target_pool.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

// A request that must not run twice cannot be retried if the target has already dropped the connection, so it
// only reuses connections that carried a response within this time.
constexpr duration max_idle_for_unrepeatable = 500ms;

} // namespace

target_pool::target_pool(asio::io_context& io, const clock& time, const asio::ip::tcp::endpoint& target)
    : io_{io}
    , time_{time}
    , target_{target}
{
}

target_pool::~target_pool()
{
    closing_ = true;
    for (auto& [raw, connection] : std::exchange(connections_, {})) {
        connection->cancel();
    }
}

std::shared_ptr<target_connection> target_pool::take_idle(const target_request& request)
{
    const auto now = time_.now();
    for (auto i = idle_.size(); i-- > 0;) {
        auto candidate = idle_[i];
        const auto age = now - candidate->idle_since();
        if (age >= candidate->idle_limit() || !candidate->idle()) {
            candidate->cancel(); // Removes it from idle_.
            continue;
        }
        if (!candidate->may_carry(request.key)) {
            continue;
        }
        if (!request.repeatable && age > max_idle_for_unrepeatable) {
            return nullptr;
        }
        idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(i));
        return candidate;
    }
    return nullptr;
}

std::weak_ptr<target_connection> target_pool::start(target_request request,
                                                    std::shared_ptr<target_events> events)
{
    if (auto connection = take_idle(request)) {
        connection->exchange(std::move(request), std::move(events));
        return connection;
    }
    auto connection = std::make_shared<target_connection>(
        asio::ip::tcp::socket{io_}, static_cast<target_connection_owner&>(*this), time_);
    connections_.emplace(connection.get(), connection);
    ++opened_;
    connection->connect(target_, std::move(request), std::move(events));
    return connection;
}

void target_pool::close_expired()
{
    const auto now = time_.now();
    const auto copy = idle_;
    for (const auto& connection : copy) {
        if (now - connection->idle_since() >= connection->idle_limit()) {
            connection->cancel();
        }
    }
    // A failed exchange ends its connection, which removes it from the pool.
    std::vector<std::shared_ptr<target_connection>> busy;
    for (const auto& [raw, connection] : connections_) {
        if (!connection->idle()) {
            busy.push_back(connection);
        }
    }
    for (const auto& connection : busy) {
        connection->check();
    }
}

void target_pool::close_idle()
{
    const auto copy = idle_;
    for (const auto& connection : copy) {
        connection->cancel();
    }
}

void target_pool::on_idle(target_connection& connection)
{
    if (const auto found = connections_.find(&connection); found != connections_.end()) {
        idle_.push_back(found->second);
    }
}

void target_pool::on_end(target_connection& connection)
{
    if (closing_) {
        return;
    }
    std::erase_if(idle_, [&](const auto& idle) { return idle.get() == &connection; });
    connections_.erase(&connection);
}

} // namespace wagtailhatch
