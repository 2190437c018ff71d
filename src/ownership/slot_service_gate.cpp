// How owners of one slot in different data centres agree on a new division of rates and homes.
#include "include/ownership/slot_service.h"
#include "src/core/wire.h"
#include "src/ownership/slot_messages.h"
#include "src/ownership/slot_records.h"

#include <algorithm>

namespace wagtailhatch {

namespace {

constexpr std::chrono::milliseconds first_confirm_retry{50};
constexpr std::chrono::milliseconds longest_confirm_retry{5000};

} // namespace

void slot_service::adopt_configuration(std::uint32_t slot)
{
    auto& s = state(slot);
    if (!s.gate || !s.gate->adopt(config_)) {
        return;
    }
    note_moved(slot);
    s.gate_record = s.gate->to_record();
    s.gate_copied = false;
    s.next_confirm = {};
    s.confirm_retry = {};
    pairs_.append(slot, tagged(record_type::gate, encode_gate(s.gate_record)),
                  [this, slot, version = s.gate_record.version](bool copied) {
                      auto& now = state(slot);
                      if (copied && now.gate_record.version == version) {
                          now.gate_copied = true;
                      }
                  });
}

// Workspaces whose home came here: their earlier claims are not known.
void slot_service::note_moved(std::uint32_t slot)
{
    auto& s = state(slot);
    for (const auto& [workspace, at] : moved_) {
        if (home_of(workspace) == own_data_centre() &&
            (!s.moved.contains(workspace) || s.moved[workspace] < at)) {
            s.moved[workspace] = at;
            pairs_.append(slot, tagged(record_type::moved, encode_moved(workspace, clock_.now() - at)), {});
        }
    }
}

void slot_service::ask_confirmations(std::uint32_t slot)
{
    auto& s = state(slot);
    if (!s.gate || clock_.now() < s.next_confirm) {
        return;
    }
    const auto missing = s.gate->missing();
    if (missing.empty()) {
        return;
    }
    s.confirm_retry = std::clamp<duration>(s.confirm_retry * 2, first_confirm_retry, longest_confirm_retry);
    s.next_confirm = clock_.now() + s.confirm_retry;
    for (const auto& data_centre : missing) {
        ask_confirmation(slot, data_centre);
    }
}

void slot_service::ask_confirmation(std::uint32_t slot, const std::string& data_centre)
{
    find_row(data_centre, slot, [=, this](const slot_row* row) {
        if (row == nullptr) {
            check_never_owned(slot, data_centre);
            return;
        }
        wire_writer w;
        w.u8(static_cast<std::uint8_t>(slot_message::confirm)).u32(slot);
        send(row->owner, channel::quota, w.take(), options_.ask_timeout,
             [=, this, alive = std::weak_ptr{alive_}](const peer_reply& reply) {
                 if (alive.expired()) {
                     return;
                 }
                 wire_reader r{reply.ok ? std::string_view{reply.payload} : std::string_view{}};
                 const auto type = static_cast<slot_answer>(r.u8());
                 if (!r.ok() || type == slot_answer::not_here) {
                     forget(data_centre, slot);
                     learn_from(data_centre, slot, r.str());
                     return;
                 }
                 const auto version = r.u64();
                 const auto stamp = r.u64();
                 auto& s = state(slot);
                 if (type == slot_answer::done && r.complete() && s.gate) {
                     s.gate->confirmed(data_centre, version, stamp);
                 }
             });
    });
}

// A slot without a row never had an owner. One that comes into being asks everybody before it mints.
void slot_service::check_never_owned(std::uint32_t slot, const std::string& data_centre)
{
    table_.read("slot/" + data_centre + "/" + std::to_string(slot),
                [=, this, alive = std::weak_ptr{alive_}](const result<table_row>& r) {
                    if (alive.expired()) {
                        return;
                    }
                    auto& s = state(slot);
                    if (!r && r.failure().code == errc::not_found && s.gate) {
                        s.gate->confirmed(data_centre, s.gate->version(), s.gate->stamp());
                    }
                    if (r) {
                        learn_from(data_centre, slot, r.value().value);
                    }
                });
}

void slot_service::handle_confirm(std::string_view body, const reply& respond)
{
    wire_reader r{body};
    r.u8();
    const auto slot = r.u32();
    if (!r.complete() || slot >= ownership_.slots() || ownership_.role(slot) != slot_role::owner) {
        respond(not_here(slot));
        return;
    }
    auto& s = state(slot);
    wire_writer w;
    if (!s.gate || s.gate->version() == 0 || !s.gate_copied || !acting(slot, ownership_.row(slot).epoch)) {
        respond(w.u8(static_cast<std::uint8_t>(slot_answer::unavailable)).take());
        return;
    }
    w.u8(static_cast<std::uint8_t>(slot_answer::done)).u64(s.gate->version()).u64(s.gate->stamp());
    respond(w.take());
}

} // namespace wagtailhatch
