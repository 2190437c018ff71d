// Where the slots of all data centres are, as nodes tell each other.
#include "include/ownership/slot_service.h"
#include "src/core/wire.h"
#include "src/ownership/slot_messages.h"

namespace wagtailhatch {

namespace {

constexpr std::chrono::milliseconds map_timeout{300};

} // namespace

std::string slot_service::not_here(std::uint32_t slot) const
{
    const bool known = slot < ownership_.slots() && ownership_.row(slot).epoch > 0;
    wire_writer w;
    return w.u8(static_cast<std::uint8_t>(slot_answer::not_here))
        .str(known ? encode_row(ownership_.row(slot)) : std::string{})
        .take();
}

std::string slot_service::handle_map(std::string_view body) const
{
    wire_reader r{body};
    r.u8();
    const auto digest = r.u64();
    std::uint64_t own = 0;
    std::uint32_t known = 0;
    for (std::uint32_t i = 0; i < ownership_.slots(); ++i) {
        own += ownership_.row(i).epoch;
        known += ownership_.row(i).epoch > 0 ? 1 : 0;
    }
    wire_writer w;
    if (!r.complete() || own == digest) {
        return w.u32(0).take();
    }
    w.u32(known);
    for (std::uint32_t i = 0; i < ownership_.slots(); ++i) {
        if (ownership_.row(i).epoch > 0) {
            w.u32(i).str(encode_row(ownership_.row(i)));
        }
    }
    return w.take();
}

void slot_service::learn(const std::string& data_centre, std::uint32_t slot, const slot_row& row)
{
    if (data_centre == own_data_centre()) {
        ownership_.learn(slot, row);
        return;
    }
    auto& known = remote_[data_centre].rows[slot];
    if (row.epoch > known.epoch) {
        known = row;
    }
}

void slot_service::learn_from(const std::string& data_centre, std::uint32_t slot, const std::string& row_text)
{
    const auto row = decode_row(row_text);
    if (row) {
        learn(data_centre, slot, row.value());
    }
}

// The owner did not answer or is not the owner any more.
void slot_service::forget(const std::string& data_centre, std::uint32_t slot)
{
    if (data_centre != own_data_centre()) {
        remote_[data_centre].rows.erase(slot);
    }
}

void slot_service::find_row(const std::string& data_centre, std::uint32_t slot, found_row done)
{
    if (data_centre == own_data_centre()) {
        const auto& row = ownership_.row(slot);
        done(row.epoch > 0 ? &row : nullptr);
        return;
    }
    const auto known = [this, data_centre, slot]() -> const slot_row* {
        const auto& rows = remote_[data_centre].rows;
        const auto found = rows.find(slot);
        return found == rows.end() ? nullptr : &found->second;
    };
    if (const auto* row = known()) {
        done(row);
        return;
    }
    fetch_map(data_centre, [known, done = std::move(done)] { done(known()); });
}

void slot_service::fetch_map(const std::string& data_centre, std::function<void()> done)
{
    auto& m = remote_[data_centre];
    m.waiting.push_back(std::move(done));
    if (m.fetching) {
        return;
    }
    const auto finish = [this, data_centre](const peer_reply& reply) {
        auto& map = remote_[data_centre];
        map.fetching = false;
        if (reply.ok) {
            wire_reader r{reply.payload};
            const auto count = r.u32();
            for (std::uint32_t i = 0; i < count && r.ok(); ++i) {
                const auto slot = r.u32();
                learn_from(data_centre, slot, r.str());
            }
        }
        const auto waiting = std::move(map.waiting);
        map.waiting.clear();
        for (const auto& w : waiting) {
            w();
        }
    };
    if (m.members.empty()) {
        finish({});
        return;
    }
    m.fetching = true;
    const auto& to = m.members[random_.below(m.members.size())];
    wire_writer w;
    sender_.request(to.address, channel::slot,
                    w.u8(static_cast<std::uint8_t>(slot_message::map)).u64(0).take(), map_timeout,
                    [finish, alive = std::weak_ptr{alive_}](const peer_reply& reply) {
                        if (!alive.expired()) {
                            finish(reply);
                        }
                    });
}

// Repairs lost announcements of rows: without reading the table, whatever the number of nodes.
void slot_service::compare_maps()
{
    next_compare_ =
        clock_.now() + std::chrono::duration_cast<duration>(options_.map_interval * (0.5 + random_.unit()));
    const auto& live = ownership_.live();
    if (live.empty()) {
        return;
    }
    std::uint64_t digest = 0;
    for (std::uint32_t i = 0; i < ownership_.slots(); ++i) {
        digest += ownership_.row(i).epoch;
    }
    wire_writer w;
    sender_.request(live[random_.below(live.size())].address, channel::slot,
                    w.u8(static_cast<std::uint8_t>(slot_message::map)).u64(digest).take(), map_timeout,
                    [this, alive = std::weak_ptr{alive_}](const peer_reply& reply) {
                        if (alive.expired() || !reply.ok) {
                            return;
                        }
                        wire_reader r{reply.payload};
                        const auto count = r.u32();
                        for (std::uint32_t i = 0; i < count && r.ok(); ++i) {
                            const auto slot = r.u32();
                            learn_from(own_data_centre(), slot, r.str());
                        }
                    });
}

} // namespace wagtailhatch
