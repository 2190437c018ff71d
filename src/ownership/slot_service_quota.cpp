// Mints of the slots that this node owns, and how its wallet reaches them.
#include "include/ownership/slot_service.h"
#include "src/core/wire.h"
#include "src/ownership/slot_messages.h"
#include "src/ownership/slot_records.h"

#include <algorithm>

namespace wagtailhatch {

namespace {

constexpr int most_tries = 2;

std::string unavailable()
{
    wire_writer w;
    return w.u8(static_cast<std::uint8_t>(slot_answer::unavailable)).take();
}

} // namespace

void slot_service::ask(const std::string& workspace, const std::string& data_centre, std::uint32_t need,
                       std::uint32_t wish, std::function<void(const mint_answer&)> done)
{
    ask_mint(workspace, data_centre, need, wish, most_tries, std::move(done));
}

void slot_service::ask_mint(const std::string& workspace, const std::string& data_centre, std::uint32_t need,
                            std::uint32_t wish, int tries, std::function<void(const mint_answer&)> done)
{
    const auto slot = slot_of(workspace, ownership_.slots());
    find_row(data_centre, slot, [=, this, done = std::move(done)](const slot_row* row) {
        if (row == nullptr) {
            done({});
            return;
        }
        wire_writer w;
        w.u8(static_cast<std::uint8_t>(slot_message::take)).u32(slot).str(workspace).u32(need).u32(wish);
        auto answered = [=, this, alive = std::weak_ptr{alive_}](const peer_reply& reply) {
            if (alive.expired()) {
                return;
            }
            wire_reader r{reply.ok ? std::string_view{reply.payload} : std::string_view{}};
            const auto type = static_cast<slot_answer>(r.u8());
            mint_answer a;
            if (reply.ok && r.ok() && type == slot_answer::not_here) {
                forget(data_centre, slot);
                learn_from(data_centre, slot, r.str());
                if (tries > 1) {
                    ask_mint(workspace, data_centre, need, wish, tries - 1, done);
                    return;
                }
            }
            else if (reply.ok && r.ok() && type == slot_answer::done) {
                a.epoch = r.u64();
                a.grant = r.u64();
                a.amount = r.u32();
                a.left = r.f64();
                a.burst = r.f64();
                a.wait = duration{r.i64()};
                a.reachable = r.complete();
                a.grant = a.reachable ? a.grant : 0;
            }
            else if (reply.ok && r.ok()) {
                a.busy = true;
            }
            else {
                forget(data_centre, slot);
            }
            done(a);
        };
        send(row->owner, channel::quota, w.take(), options_.ask_timeout, std::move(answered));
    });
}

void slot_service::settle(const std::string& workspace, const std::string& data_centre, std::uint64_t epoch,
                          std::uint64_t grant, std::uint32_t spent, std::uint32_t returned)
{
    const auto slot = slot_of(workspace, ownership_.slots());
    const auto& row =
        data_centre == own_data_centre() ? ownership_.row(slot) : remote_[data_centre].rows[slot];
    if (row.epoch < epoch) {
        return;
    }
    wire_writer w;
    w.u8(static_cast<std::uint8_t>(slot_message::settle)).u32(slot).str(workspace).u64(grant);
    w.u32(spent).u32(returned);
    send(row.owner, channel::quota, w.take(), options_.ask_timeout, [](const peer_reply&) {});
}

token_mint* slot_service::mint_for(std::uint32_t slot, const std::string& workspace)
{
    auto& s = state(slot);
    if (!s.gate || !s.gate->open()) {
        return nullptr;
    }
    const auto share = s.gate->share(workspace);
    const auto now = clock_.now();
    auto found = s.mints.find(workspace);
    if (found == s.mints.end()) {
        found =
            s.mints
                .emplace(workspace, s.lost_at ? token_mint::after_loss(share.rate, share.burst, *s.lost_at)
                                              : token_mint{share.rate, share.burst, now})
                .first;
        found->second.begin_epoch(first_grant(ownership_.row(slot).epoch));
    }
    found->second.set_share(share.rate, share.burst, now);
    return &found->second;
}

// A lower share counts from now on, also in the partner's copies: minting at the old rate until the next take
// would exceed the new one.
void slot_service::lower_shares(std::uint32_t slot)
{
    auto& s = state(slot);
    const auto now = clock_.now();
    for (auto& [workspace, mint] : s.mints) {
        const auto found = config_->workspaces.find(workspace);
        const auto most = found == config_->workspaces.end()
                              ? workspace_share{}
                              : share_of(*config_, found->second, own_data_centre());
        const auto burst = static_cast<std::uint64_t>(mint.burst() / whole_token);
        mint.set_share(std::min(mint.rate(), most.rate), std::min(burst, most.burst), now);
    }
}

void slot_service::handle_take(std::string_view body, const reply& respond)
{
    wire_reader r{body};
    r.u8();
    const auto slot = r.u32();
    const auto workspace = r.str();
    const auto need = r.u32();
    const auto wish = r.u32();
    if (!r.complete() || slot >= ownership_.slots() || ownership_.role(slot) != slot_role::owner) {
        respond(not_here(slot));
        return;
    }
    const auto epoch = ownership_.row(slot).epoch;
    auto* mint = acting(slot, epoch) ? mint_for(slot, workspace) : nullptr;
    if (mint == nullptr) {
        respond(unavailable());
        return;
    }
    const auto grant = mint->reserve(need, wish, clock_.now());
    if (grant.id == 0) {
        grant_copied(slot, epoch, workspace, grant, true, respond);
        return;
    }
    pairs_.append(slot, tagged(record_type::mint, encode_mint(workspace, mint->copy(clock_.now()))),
                  [=, this](bool copied) { grant_copied(slot, epoch, workspace, grant, copied, respond); });
}

void slot_service::grant_copied(std::uint32_t slot, std::uint64_t epoch, const std::string& workspace,
                                const token_mint::grant& g, bool copied, const reply& respond)
{
    auto& mints = state(slot).mints;
    const auto found = mints.find(workspace);
    if (!copied || found == mints.end()) {
        if (found != mints.end()) {
            found->second.withdraw(g.id, clock_.now());
        }
        respond(unavailable());
        return;
    }
    auto& mint = found->second;
    const auto now = clock_.now();
    if (g.id != 0) {
        mint.answered(g.id, now);
    }
    wire_writer w;
    w.u8(static_cast<std::uint8_t>(slot_answer::done)).u64(epoch).u64(g.id).u32(g.amount);
    w.f64(static_cast<double>(mint.available(now)) / whole_token);
    w.f64(static_cast<double>(mint.burst()) / whole_token);
    w.i64(mint.wait(now).count());
    respond(w.take());
}

void slot_service::handle_settle(std::string_view body)
{
    wire_reader r{body};
    r.u8();
    const auto slot = r.u32();
    const auto workspace = r.str();
    const auto grant = r.u64();
    const auto spent = r.u32();
    const auto returned = r.u32();
    if (!r.complete() || slot >= ownership_.slots() || ownership_.role(slot) != slot_role::owner) {
        return;
    }
    auto& mints = state(slot).mints;
    const auto found = mints.find(workspace);
    if (found != mints.end()) {
        found->second.settle(grant, spent, returned, clock_.now());
    }
}

} // namespace wagtailhatch
