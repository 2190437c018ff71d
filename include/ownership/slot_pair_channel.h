#pragma once

#include "include/ownership/slot_ownership.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

/// What the pair keeps for one slot: built from records, in order.
class replica_state {
public:
    virtual ~replica_state() = default;
    /// Records that build the whole present state from nothing.
    virtual std::vector<std::string> snapshot(std::uint32_t slot) = 0;
    virtual void reset(std::uint32_t slot) = 0;
    /// False if a record is malformed.
    virtual bool apply(std::uint32_t slot, const std::string& record) = 0;
};

struct pair_channel_options {
    std::chrono::milliseconds timeout{300}; ///< Of one batch; it is sent again until the epoch ends.
    std::size_t batch_bytes = std::size_t{256} << 10; ///< Also bounds the parts of a snapshot.
    std::size_t queue_bytes = std::size_t{8} << 20;   ///< Records beyond this are refused.
};

/// Copies the owner's state to its partner. One batch of a slot is on its way at a time; whatever is appended
/// meanwhile goes into the next one, so the number of messages does not grow with the load. Lost batches are
/// sent again under the same number, and the partner counts numbers, so that a repeated or late batch is
/// applied once. One thread.
class slot_pair_channel {
public:
    using acknowledged = std::function<void(bool)>;

    slot_pair_channel(pair_channel_options options, slot_ownership& ownership, replica_state& state,
                      message_sender& sender);
    ~slot_pair_channel();
    slot_pair_channel(const slot_pair_channel&) = delete;
    slot_pair_channel& operator=(const slot_pair_channel&) = delete;

    /// Begins an epoch as owner: sends the whole state first. Records appended before stay queued if
    /// keep_pending, and count as acknowledged with the state.
    void start(std::uint32_t slot, std::uint64_t epoch, bool keep_pending);

    /// Ends the part as owner: nothing that is not acknowledged may be acted on.
    void stop(std::uint32_t slot);

    /// done(true) when the partner holds the record: only then may the owner act on it. done(false) if it
    /// never will. May run inside this call.
    void append(std::uint32_t slot, std::string record, acknowledged done);

    /// Partner's side: applies a batch and returns the answer.
    std::string handle(std::string_view body);

    /// Sends again what is due.
    void tick();

    /// Owner's side: sends what waits, after a suspension.
    void resume(std::uint32_t slot);

    std::uint64_t batches() const { return batches_; }

private:
    struct pending {
        std::string record;
        acknowledged done;
    };
    struct part {
        std::string payload;
        std::vector<acknowledged> done;
        bool last_of_state = false;
    };
    struct outgoing {
        std::uint64_t epoch = 0;
        std::uint64_t number = 0; ///< Of the batch on its way or to be sent next.
        std::deque<std::vector<std::string>> snapshot;
        bool first = false;
        std::vector<acknowledged> with_snapshot;
        std::deque<pending> queue;
        std::size_t queued_bytes = 0;
        std::shared_ptr<part> sending;
        bool in_flight = false;
    };
    struct incoming {
        std::uint64_t epoch = 0;
        std::uint64_t expected = 1;
    };

    static std::vector<acknowledged> take_pending(outgoing& out);
    bool take_in(std::uint32_t slot, std::uint64_t epoch, std::uint64_t number, std::uint8_t flags,
                 const std::vector<std::string>& records);
    void pump(std::uint32_t slot);
    void fill(std::uint32_t slot, outgoing& out);
    void send(std::uint32_t slot, outgoing& out);
    void answered(std::uint32_t slot, std::uint64_t epoch, std::uint64_t number, const peer_reply& reply);
    void complete(std::uint32_t slot, outgoing& out);

    pair_channel_options options_;
    slot_ownership& ownership_;
    replica_state& state_;
    message_sender& sender_;
    std::map<std::uint32_t, outgoing> out_;
    std::map<std::uint32_t, incoming> in_;
    std::uint64_t batches_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace wagtailhatch
