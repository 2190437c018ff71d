// Assembly, state of the pairs, and the map of slots. Mints, claims and confirmations are in their own files.
#include "include/ownership/slot_service.h"

#include "src/ownership/slot_messages.h"
#include "src/ownership/slot_records.h"
#include "src/ownership/wire.h"

#include <algorithm>

namespace wagtailhatch {

namespace {

constexpr std::chrono::milliseconds map_timeout{300};
constexpr std::chrono::milliseconds row_timeout{500};

} // namespace

slot_service::slot_service(slot_service_options options, node_ref self, table_service& table,
                           message_sender& sender, const clock& time, random_source& random)
    : options_{std::move(options)}
    , sender_{sender}
    , clock_{time}
    , random_{random}
    , table_{table}
    , ownership_{options_.ownership, std::move(self), table, time, random, *this}
    , pairs_{options_.pair, ownership_, *this, sender}
    , wallet_{options_.wallet, *this, time}
{
}

slot_service::~slot_service()
{
    alive_.reset();
}

slot_service::slot_state& slot_service::state(std::uint32_t slot)
{
    auto& s = states_[slot];
    if (!s) {
        s = std::make_unique<slot_state>();
        auto copy = [this, slot](std::string record, std::function<void(bool)> done) {
            pairs_.append(slot, tagged(record_type::claim, record), std::move(done));
        };
        s->claims = std::make_unique<run_once_home>(options_.run_once, clock_, std::move(copy));
    }
    return *s;
}

void slot_service::set_configuration(std::shared_ptr<const configuration> c)
{
    if (!c || (config_ && c->version <= config_->version)) {
        return;
    }
    if (config_) {
        for (const auto& [name, w] : c->workspaces) {
            const auto before = config_->workspaces.find(name);
            if (before != config_->workspaces.end() &&
                wagtailhatch::home_of(*config_, before->second) != wagtailhatch::home_of(*c, w)) {
                moved_[name] = clock_.now();
            }
        }
    }
    config_ = std::move(c);
    options_.run_once.memory = config_->run_once_memory;
    std::vector<std::string> names;
    for (const auto& [name, dc] : config_->data_centres) {
        names.push_back(name);
    }
    wallet_.set_data_centres(std::move(names));
    for (auto& [slot, s] : states_) {
        s->claims->set_memory(config_->run_once_memory);
        if (ownership_.role(slot) == slot_role::owner) {
            adopt_configuration(slot);
        }
    }
}

void slot_service::set_members(const std::string& data_centre, std::vector<node_ref> members)
{
    if (data_centre == own_data_centre()) {
        ownership_.set_live_members(members);
    }
    else {
        remote_[data_centre].members = std::move(members);
    }
}

void slot_service::report_ended(const std::string& id, std::uint64_t incarnation)
{
    ownership_.report_ended(id, incarnation);
}

void slot_service::tick()
{
    ownership_.tick();
    pairs_.tick();
    wallet_.tick();
    std::vector<std::uint32_t> known;
    for (const auto& [slot, s] : states_) {
        known.push_back(slot);
    }
    for (const auto slot : known) {
        state(slot).claims->tick();
        if (ownership_.role(slot) == slot_role::owner) {
            ask_confirmations(slot);
        }
    }
    if (clock_.now() >= next_compare_) {
        compare_maps();
    }
}

void slot_service::hand_over_all(duration limit, std::function<void()> done)
{
    wallet_.give_back_all();
    ownership_.hand_over_all(limit, std::move(done));
}

std::string slot_service::home_of(const std::string& workspace) const
{
    if (!config_) {
        return {};
    }
    const auto found = config_->workspaces.find(workspace);
    return found == config_->workspaces.end() ? std::string{}
                                              : wagtailhatch::home_of(*config_, found->second);
}

void slot_service::on_become_owner(std::uint32_t slot, std::uint64_t epoch, bool had_history)
{
    auto& s = state(slot);
    const bool continues = had_history && s.gate != nullptr;
    if (!continues) {
        pairs_.stop(slot);
        if (!had_history) {
            reset(slot);
            s.lost_at = clock_.now();
            s.claims->lose_history();
        }
        s.claims->take_over();
        s.gate = std::make_unique<share_gate>(own_data_centre(),
                                              s.gate_record.version > 0 ? &s.gate_record : nullptr);
        if (config_) {
            s.gate->adopt(config_);
            s.gate_record = s.gate->version() > 0 ? s.gate->to_record() : s.gate_record;
        }
    }
    s.gate_copied = false;
    s.next_confirm = {};
    s.confirm_retry = {};
    note_moved(slot);
    pairs_.start(slot, epoch, continues);
    pairs_.append(slot, tagged(record_type::gate, encode_gate(s.gate_record)), [this, slot](bool copied) {
        if (copied) {
            state(slot).gate_copied = true;
        }
    });
    ask_confirmations(slot);
}

void slot_service::on_become_partner(std::uint32_t slot, std::uint64_t epoch)
{
    on_lost(slot, epoch);
}

void slot_service::on_lost(std::uint32_t slot, std::uint64_t /*epoch*/)
{
    pairs_.stop(slot);
    auto& s = state(slot);
    s.claims->step_down();
    s.gate.reset();
    reset(slot);
}

void slot_service::on_suspended(std::uint32_t /*slot*/, std::uint64_t /*epoch*/) {}

void slot_service::on_resumed(std::uint32_t slot, std::uint64_t /*epoch*/)
{
    pairs_.resume(slot);
}

void slot_service::on_row_written(std::uint32_t slot, const slot_row& row)
{
    wire_writer w;
    const auto payload =
        w.u8(static_cast<std::uint8_t>(slot_message::row)).u32(slot).str(encode_row(row)).take();
    for (const auto& m : ownership_.live()) {
        sender_.request(m.address, channel::slot, payload, row_timeout, [](const peer_reply&) {});
    }
}

std::vector<std::string> slot_service::snapshot(std::uint32_t slot)
{
    auto& s = state(slot);
    std::vector<std::string> records;
    const auto now = clock_.now();
    if (s.lost_at) {
        records.push_back(tagged(record_type::mints_lost, encode_age(now - *s.lost_at)));
    }
    records.push_back(tagged(record_type::gate, encode_gate(s.gate_record)));
    for (auto& [workspace, m] : s.mints) {
        records.push_back(tagged(record_type::mint, encode_mint(workspace, m.copy(now))));
    }
    for (const auto& [workspace, copy] : s.copies) {
        records.push_back(tagged(record_type::mint, encode_mint(workspace, copy)));
    }
    for (const auto& [workspace, at] : s.moved) {
        records.push_back(tagged(record_type::moved, encode_moved(workspace, now - at)));
    }
    for (const auto& claim : s.claims->snapshot()) {
        records.push_back(tagged(record_type::claim, claim));
    }
    return records;
}

void slot_service::reset(std::uint32_t slot)
{
    auto& s = state(slot);
    s.copies.clear();
    s.mints.clear();
    s.moved.clear();
    s.lost_at.reset();
    s.gate_record = {};
    s.claims->reset();
}

bool slot_service::apply(std::uint32_t slot, const std::string& record)
{
    auto& s = state(slot);
    const auto now = clock_.now();
    const auto body = std::string_view{record}.substr(record.empty() ? 0 : 1);
    switch (type_of(record)) {
    case record_type::claim:
        return s.claims->apply(std::string{body});
    case record_type::mint: {
        auto m = decode_mint(body);
        if (m) {
            m->second.recorded = now;
            s.copies[m->first] = m->second;
        }
        return m.has_value();
    }
    case record_type::gate: {
        const auto g = decode_gate(body);
        s.gate_record = g.value_or(s.gate_record);
        return g.has_value();
    }
    case record_type::moved: {
        const auto m = decode_moved(body);
        if (m) {
            s.moved[m->first] = now - m->second;
        }
        return m.has_value();
    }
    case record_type::mints_lost: {
        const auto age = decode_age(body);
        if (age) {
            s.lost_at = now - *age;
        }
        return age.has_value();
    }
    }
    return false;
}

void slot_service::send(const node_ref& to, channel c, std::string payload, duration timeout,
                        std::function<void(peer_reply)> done)
{
    if (to.same(ownership_.self())) {
        handle(c, payload, [done = std::move(done)](std::string answer) {
            done({true, std::move(answer), {}});
        });
        return;
    }
    sender_.request(to.address, c, std::move(payload), timeout, std::move(done));
}

void slot_service::handle(channel c, const std::string& payload, reply respond)
{
    wire_reader r{payload};
    const auto type = static_cast<slot_message>(r.u8());
    if (c == channel::slot && type == slot_message::pair) {
        respond(pairs_.handle(payload));
    }
    else if (c == channel::slot && type == slot_message::row) {
        const auto slot = r.u32();
        const auto row = decode_row(r.str());
        if (r.finished() && row) {
            ownership_.learn(slot, row.value());
        }
        respond({});
    }
    else if (c == channel::slot && type == slot_message::map) {
        respond(handle_map(payload));
    }
    else if (c == channel::quota && type == slot_message::take) {
        handle_take(payload, respond);
    }
    else if (c == channel::quota && type == slot_message::settle) {
        handle_settle(payload);
        respond({});
    }
    else if (c == channel::quota && type == slot_message::confirm) {
        handle_confirm(payload, respond);
    }
    else if (c == channel::claim && type == slot_message::order) {
        handle_order(payload, respond);
    }
    else {
        respond({}); // Empty answers are read as malformed by every sender.
    }
}

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
    if (!r.finished() || own == digest) {
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
