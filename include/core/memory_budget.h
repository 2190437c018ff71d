#pragma once

#include <cstddef>
#include <utility>

namespace wagtailhatch {

/// Limit on the memory that request bodies may occupy in this process. Not thread-safe.
class memory_budget {
public:
    explicit memory_budget(std::size_t limit)
        : limit_{limit}
    {
    }
    ~memory_budget() = default;
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    std::size_t limit() const { return limit_; }
    std::size_t used() const { return used_; }

private:
    friend class memory_reservation;

    std::size_t limit_;
    std::size_t used_ = 0;
};

/// A part of a memory_budget, returned to it on destruction. The budget must outlive it.
class memory_reservation {
public:
    explicit memory_reservation(memory_budget& budget)
        : budget_{&budget}
    {
    }
    memory_reservation(memory_reservation&& other) noexcept
        : budget_{other.budget_}
        , bytes_{std::exchange(other.bytes_, 0)}
    {
    }
    memory_reservation& operator=(memory_reservation&& other) noexcept
    {
        std::swap(budget_, other.budget_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;
    ~memory_reservation() { shrink(bytes_); }

    /// Reserves more bytes; returns false, and reserves nothing, if the budget does not allow it. A holder
    /// that is alone may exceed the limit, so that one request of the largest allowed size is always served.
    bool grow(std::size_t bytes)
    {
        const bool alone = budget_->used_ == bytes_;
        if (!alone && budget_->used_ + bytes > budget_->limit_) {
            return false;
        }
        budget_->used_ += bytes;
        bytes_ += bytes;
        return true;
    }

    /// Returns bytes to the budget. Requires that this many are reserved.
    void shrink(std::size_t bytes)
    {
        budget_->used_ -= bytes;
        bytes_ -= bytes;
    }

    const memory_budget& budget() const { return *budget_; }
    std::size_t bytes() const { return bytes_; }

private:
    memory_budget* budget_;
    std::size_t bytes_ = 0;
};

/// Budgets for the bodies of the requests that a node holds. Small bodies have one of their own, so that
/// large ones never keep them out.
struct body_budgets {
    explicit body_budgets(std::size_t limit_of_large)
        : large{limit_of_large}
    {
    }

    static constexpr std::size_t max_small_body = std::size_t{16} << 10; ///< Bytes.
    static constexpr std::size_t limit_of_small = std::size_t{8} << 20;  ///< Bytes.
    /// A body and its encoded copy for another node, or the frame that it arrived in.
    static constexpr std::size_t copies = 2;

    memory_budget large;
    memory_budget small{limit_of_small};
};

/// Bytes that large bodies may occupy in a process that is allowed `memory_limit` bytes in total; 0: unknown.
std::size_t limit_of_large_bodies(std::size_t memory_limit);

} // namespace wagtailhatch
