// Assembly and the state of the pairs. The map of slots, mints, claims and confirmations are in their own
// files.
#include "include/ownership/slot_service.h"

#include "src/core/wire.h"
#include "src/ownership/slot_messages.h"
#include "src/ownership/slot_records.h"

#include <algorithm>

namespace wagtailhatch {

namespace {

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
        auto copy = [this, slot](const std::string& record, std::function<void(bool)> done) {
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
        lower_shares(slot);
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
    for (auto& [workspace, m] : s.mints) {
        m.begin_epoch(first_grant(epoch));
    }
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
            s.mints.insert_or_assign(m->first, token_mint{m->second});
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

void slot_service::handle(channel c, const std::string& payload, const reply& respond)
{
    wire_reader r{payload};
    const auto type = static_cast<slot_message>(r.u8());
    if (c == channel::slot && type == slot_message::pair) {
        respond(pairs_.handle(payload));
    }
    else if (c == channel::slot && type == slot_message::row) {
        const auto slot = r.u32();
        const auto row = decode_row(r.str());
        if (r.complete() && row) {
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

} // namespace wagtailhatch
