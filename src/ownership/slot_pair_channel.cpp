#include "include/ownership/slot_pair_channel.h"

#include "src/core/wire.h"
#include "src/ownership/slot_messages.h"

#include <utility>

namespace wagtailhatch {

namespace {

enum batch_flags : std::uint8_t { first_of_state = 1, last_of_state = 2 };
enum class batch_answer : std::uint8_t { refused = 0, applied = 1 };

std::deque<std::vector<std::string>> split(std::vector<std::string> records, std::size_t bytes)
{
    std::deque<std::vector<std::string>> parts(1);
    std::size_t size = 0;
    for (auto& r : records) {
        if (size + r.size() > bytes && !parts.back().empty()) {
            parts.emplace_back();
            size = 0;
        }
        size += r.size();
        parts.back().push_back(std::move(r));
    }
    return parts;
}

void run_all(const std::vector<slot_pair_channel::acknowledged>& done, bool ok)
{
    for (const auto& d : done) {
        if (d) {
            d(ok);
        }
    }
}

} // namespace

slot_pair_channel::slot_pair_channel(pair_channel_options options, slot_ownership& ownership,
                                     replica_state& state, message_sender& sender)
    : options_{options}
    , ownership_{ownership}
    , state_{state}
    , sender_{sender}
{
}

slot_pair_channel::~slot_pair_channel() = default;

std::vector<slot_pair_channel::acknowledged> slot_pair_channel::take_pending(outgoing& out)
{
    auto done = std::move(out.with_snapshot);
    if (out.sending) {
        std::move(out.sending->done.begin(), out.sending->done.end(), std::back_inserter(done));
    }
    for (auto& p : out.queue) {
        done.push_back(std::move(p.done));
    }
    return done;
}

void slot_pair_channel::start(std::uint32_t slot, std::uint64_t epoch, bool keep_pending)
{
    auto& out = out_[slot];
    auto done = take_pending(out);
    out = {};
    out.epoch = epoch;
    if (!keep_pending) {
        run_all(std::exchange(done, {}), false);
    }
    out.with_snapshot = std::move(done);
    out.snapshot = split(state_.snapshot(slot), options_.batch_bytes);
    out.first = true;
    pump(slot);
}

void slot_pair_channel::stop(std::uint32_t slot)
{
    const auto found = out_.find(slot);
    if (found == out_.end()) {
        return;
    }
    auto done = take_pending(found->second);
    out_.erase(found);
    run_all(done, false);
}

void slot_pair_channel::append(std::uint32_t slot, std::string record, acknowledged done)
{
    const auto found = out_.find(slot);
    if (found == out_.end() || found->second.queued_bytes + record.size() > options_.queue_bytes) {
        run_all({std::move(done)}, false);
        return;
    }
    auto& out = found->second;
    out.queued_bytes += record.size();
    out.queue.push_back({std::move(record), std::move(done)});
    pump(slot);
}

void slot_pair_channel::resume(std::uint32_t slot)
{
    pump(slot);
}

void slot_pair_channel::tick()
{
    std::vector<std::uint32_t> due;
    for (const auto& [slot, out] : out_) {
        if (!out.in_flight && (out.sending || !out.snapshot.empty() || !out.queue.empty())) {
            due.push_back(slot);
        }
    }
    for (const auto slot : due) {
        pump(slot);
    }
}

void slot_pair_channel::pump(std::uint32_t slot)
{
    const auto found = out_.find(slot);
    if (found == out_.end()) {
        return;
    }
    auto& out = found->second;
    if (out.in_flight || !ownership_.may_act(slot, out.epoch)) {
        return;
    }
    if (ownership_.row(slot).partner.empty()) {
        // The only node of its data centre: only evidence that it has ended lets another node take over.
        out.snapshot.clear();
        auto done = take_pending(out);
        out.with_snapshot.clear();
        out.sending.reset();
        out.queue.clear();
        out.queued_bytes = 0;
        run_all(done, true);
        return;
    }
    if (!out.sending) {
        fill(slot, out);
    }
    if (out.sending) {
        send(slot, out);
    }
}

void slot_pair_channel::fill(std::uint32_t slot, outgoing& out)
{
    std::vector<std::string> records;
    std::uint8_t flags = 0;
    auto next = std::make_shared<part>();
    if (!out.snapshot.empty()) {
        records = std::move(out.snapshot.front());
        out.snapshot.pop_front();
        flags |= out.first ? first_of_state : 0;
        out.first = false;
        if (out.snapshot.empty()) {
            flags |= last_of_state;
            next->last_of_state = true;
            next->done = std::exchange(out.with_snapshot, {});
        }
    }
    else {
        for (std::size_t bytes = 0; !out.queue.empty() && bytes < options_.batch_bytes;) {
            bytes += out.queue.front().record.size();
            records.push_back(std::move(out.queue.front().record));
            next->done.push_back(std::move(out.queue.front().done));
            out.queue.pop_front();
            out.queued_bytes -= records.back().size();
        }
    }
    if (records.empty() && flags == 0) {
        return;
    }
    wire_writer w;
    w.u8(static_cast<std::uint8_t>(slot_message::pair)).u32(slot).u64(out.epoch).u64(++out.number).u8(flags);
    w.str((flags & first_of_state) != 0 ? encode_row(ownership_.row(slot)) : std::string{});
    w.u32(static_cast<std::uint32_t>(records.size()));
    for (const auto& r : records) {
        w.str(r);
    }
    next->payload = w.take();
    out.sending = std::move(next);
}

void slot_pair_channel::send(std::uint32_t slot, outgoing& out)
{
    out.in_flight = true;
    ++batches_;
    sender_.request(ownership_.row(slot).partner.address, channel::slot, out.sending->payload,
                    options_.timeout,
                    [this, slot, epoch = out.epoch, number = out.number,
                     alive = std::weak_ptr{alive_}](const peer_reply& reply) {
                        if (!alive.expired()) {
                            answered(slot, epoch, number, reply);
                        }
                    });
}

void slot_pair_channel::answered(std::uint32_t slot, std::uint64_t epoch, std::uint64_t number,
                                 const peer_reply& reply)
{
    const auto found = out_.find(slot);
    if (found == out_.end() || found->second.epoch != epoch || found->second.number != number) {
        return;
    }
    auto& out = found->second;
    out.in_flight = false;
    if (!reply.ok) {
        return; // tick() sends it again
    }
    wire_reader r{reply.payload};
    const auto answer = static_cast<batch_answer>(r.u8());
    const auto row_text = r.str();
    if (!r.complete()) {
        return;
    }
    if (answer != batch_answer::applied) {
        const auto row = decode_row(row_text);
        if (row) {
            ownership_.learn(slot, row.value());
        }
        return;
    }
    // While a write of the row is on its way, the acknowledgement may belong to an epoch that has ended.
    if (ownership_.may_act(slot, epoch)) {
        complete(slot, out);
    }
}

void slot_pair_channel::complete(std::uint32_t slot, outgoing& out)
{
    const auto sent = std::exchange(out.sending, nullptr);
    if (!sent) {
        return;
    }
    if (sent->last_of_state) {
        ownership_.mark_synced(slot, out.epoch);
    }
    run_all(sent->done, true);
    pump(slot);
}

std::string slot_pair_channel::handle(std::string_view body)
{
    wire_reader r{body};
    r.u8();
    const auto slot = r.u32();
    const auto epoch = r.u64();
    const auto number = r.u64();
    const auto flags = r.u8();
    const auto row_text = r.str();
    const auto count = r.u32();
    std::vector<std::string> records;
    for (std::uint32_t i = 0; i < count && r.ok(); ++i) {
        records.push_back(r.str());
    }
    const bool valid = r.complete() && slot < ownership_.slots();
    if (valid && (flags & first_of_state) != 0) {
        const auto row = decode_row(row_text);
        if (row) {
            ownership_.learn(slot, row.value());
        }
    }
    const bool applied =
        valid && ownership_.may_acknowledge(slot, epoch) && take_in(slot, epoch, number, flags, records);
    wire_writer w;
    w.u8(static_cast<std::uint8_t>(applied ? batch_answer::applied : batch_answer::refused));
    w.str(!applied && valid && ownership_.row(slot).epoch > 0 ? encode_row(ownership_.row(slot))
                                                              : std::string{});
    return w.take();
}

bool slot_pair_channel::take_in(std::uint32_t slot, std::uint64_t epoch, std::uint64_t number,
                                std::uint8_t flags, const std::vector<std::string>& records)
{
    auto& in = in_[slot];
    if (in.epoch != epoch) {
        in = {epoch, 1};
    }
    if (number < in.expected) {
        return true;
    }
    // The owner sends the next number only after an acknowledgement, so a gap is a fault of the sender.
    if (number > in.expected || (number == 1) != ((flags & first_of_state) != 0)) {
        return false;
    }
    if ((flags & first_of_state) != 0) {
        state_.reset(slot);
    }
    for (const auto& record : records) {
        if (!state_.apply(slot, record)) {
            return false;
        }
    }
    ++in.expected;
    if ((flags & last_of_state) != 0) {
        ownership_.mark_synced(slot, epoch);
    }
    return true;
}

} // namespace wagtailhatch
