#pragma once

#include <cstdint>
#include <functional>
#include <utility>

namespace wagtailhatch {

/// Newest era of the store that this node has heard of. A new era begins when the store returns from an older
/// copy and has lost the writes that the copy lacks. Not thread-safe.
class store_era {
public:
    /// Called with the new era and the one before it; the latter is 0 if none was known.
    using listener = std::function<void(std::uint64_t era, std::uint64_t before)>;

    /// Sets the callback for each new era, before the answer that names it is used.
    void on_change(listener changed) { on_change_ = std::move(changed); }

    /// Records the era that an answer of the store or a peer names; 0 if it names none.
    void record(std::uint64_t era);

    std::uint64_t newest() const { return newest_; }

private:
    std::uint64_t newest_ = 0;
    listener on_change_ = [](std::uint64_t, std::uint64_t) {};
};

} // namespace wagtailhatch
