// Run-once orders: at the entry node and at the home.
#include "include/ownership/slot_service.h"
#include "src/core/wire.h"
#include "src/ownership/slot_messages.h"

#include <algorithm>

namespace wagtailhatch {

namespace {

constexpr int most_tries = 3;
// The home answers "in progress" at the deadline; its answer needs time to arrive.
constexpr std::chrono::milliseconds answer_margin{200};

std::string claim_key(const run_once_order& order)
{
    // A length in front keeps workspace and key apart whatever bytes they hold.
    return std::to_string(order.workspace.size()) + ":" + order.workspace + order.key;
}

run_once_result refused(refusal_reason reason)
{
    return {outcome::not_run, reason, false, {}};
}

run_once_result from_verdict(claim_verdict verdict, const std::string& answer)
{
    switch (verdict) {
    case claim_verdict::replay:
        return {outcome::answered, refusal_reason::replayed, false, answer};
    case claim_verdict::already_run:
        return {outcome::answered, refusal_reason::replayed, true, {}};
    case claim_verdict::in_progress:
        return {outcome::unknown, refusal_reason::in_progress, false, {}};
    case claim_verdict::unknown:
        return {outcome::unknown, refusal_reason::outcome_unknown, false, {}};
    case claim_verdict::not_run:
    case claim_verdict::run:
        break;
    }
    return refused(refusal_reason::overload);
}

std::string encode_result(const run_once_result& result)
{
    wire_writer w;
    w.u8(static_cast<std::uint8_t>(slot_answer::done)).u8(static_cast<std::uint8_t>(result.what));
    w.u8(static_cast<std::uint8_t>(result.reason)).u8(result.already_run ? 1 : 0).str(result.answer);
    return w.take();
}

run_once_result decode_result(wire_reader& r)
{
    run_once_result result;
    const auto what = r.u8();
    const auto reason = r.u8();
    result.already_run = r.u8() != 0;
    result.answer = r.str();
    if (!r.complete() || what >= outcome_names.size() || reason >= refusal_reason_names.size()) {
        return {outcome::unknown, refusal_reason::connection_lost, false, {}};
    }
    result.what = static_cast<outcome>(what);
    result.reason = static_cast<refusal_reason>(reason);
    return result;
}

} // namespace

struct slot_service::pending_order {
    run_once_order order;
    steady_time deadline;
    std::function<void(run_once_result)> done;
    std::string data_centre;
    std::uint32_t slot = 0;
    int tries = most_tries;
};

void slot_service::run_once(run_once_order order, steady_time deadline,
                            std::function<void(run_once_result)> done)
{
    auto p = std::make_shared<pending_order>();
    p->data_centre = home_of(order.workspace);
    p->slot = slot_of(claim_key(order), ownership_.slots());
    p->order = std::move(order);
    p->deadline = deadline;
    p->done = std::move(done);
    if (p->data_centre.empty()) {
        p->done(refused(refusal_reason::starting));
        return;
    }
    attempt_order(p);
}

void slot_service::attempt_order(const std::shared_ptr<pending_order>& p)
{
    find_row(p->data_centre, p->slot, [this, p](const slot_row* row) {
        const auto remaining = p->deadline - clock_.now();
        if (row == nullptr || remaining <= duration{0}) {
            p->done(refused(row == nullptr ? refusal_reason::no_target : refusal_reason::deadline));
            return;
        }
        wire_writer w;
        w.u8(static_cast<std::uint8_t>(slot_message::order)).u32(p->slot).u64(row->epoch);
        w.i64(remaining.count()).str(p->order.workspace).str(p->order.key);
        w.u8(p->order.first_attempt ? 1 : 0).str(p->order.request);
        send(row->owner, channel::claim, w.take(), remaining + answer_margin,
             [this, p, alive = std::weak_ptr{alive_}](const peer_reply& reply) {
                 if (!alive.expired()) {
                     order_answered(p, reply);
                 }
             });
    });
}

void slot_service::order_answered(const std::shared_ptr<pending_order>& p, const peer_reply& reply)
{
    if (!reply.ok) {
        forget(p->data_centre, p->slot);
        if (p->data_centre == own_data_centre()) {
            ownership_.look_again(p->slot);
        }
        p->done(reply.failure.sent == delivery::not_sent
                    ? refused(refusal_reason::no_target)
                    : run_once_result{outcome::unknown, refusal_reason::connection_lost, false, {}});
        return;
    }
    wire_reader r{reply.payload};
    const auto type = static_cast<slot_answer>(r.u8());
    if (r.ok() && type == slot_answer::done) {
        p->done(decode_result(r));
        return;
    }
    if (!r.ok() || type != slot_answer::not_here) {
        p->done(r.ok() ? refused(refusal_reason::overload)
                       : run_once_result{outcome::unknown, refusal_reason::connection_lost, false, {}});
        return;
    }
    forget(p->data_centre, p->slot);
    learn_from(p->data_centre, p->slot, r.str());
    if (--p->tries > 0) {
        attempt_order(p);
        return;
    }
    if (p->data_centre == own_data_centre()) {
        ownership_.look_again(p->slot);
    }
    p->done(refused(refusal_reason::no_target));
}

void slot_service::handle_order(std::string_view body, const reply& respond)
{
    wire_reader r{body};
    r.u8();
    run_once_order order;
    const auto slot = r.u32();
    const auto epoch = r.u64();
    const duration remaining{r.i64()};
    order.workspace = r.str();
    order.key = r.str();
    order.first_attempt = r.u8() != 0;
    order.request = r.str();
    // The epoch must be the one that the sender meant: a message that arrives late, after this instance was
    // started anew, would otherwise pass for a first attempt.
    if (!r.complete() || slot >= ownership_.slots() || ownership_.role(slot) != slot_role::owner ||
        ownership_.row(slot).epoch != epoch) {
        respond(not_here(slot));
        return;
    }
    auto& s = state(slot);
    wire_writer w;
    if (!acting(slot, epoch) || !runner_ || !s.gate || !s.gate->home_here(order.workspace)) {
        respond(w.u8(static_cast<std::uint8_t>(slot_answer::unavailable)).take());
        return;
    }
    const auto now = clock_.now();
    const auto deadline = now + remaining;
    const auto moved = s.moved.find(order.workspace);
    const auto seen = moved_.find(order.workspace);
    const auto known = [&](steady_time since) { return now - since >= options_.run_once.memory; };
    const bool history_known =
        (moved == s.moved.end() || known(moved->second)) && (seen == moved_.end() || known(seen->second));
    const auto key = claim_key(order);
    s.claims->begin(key, order.first_attempt, history_known, deadline,
                    [=, this](claim_verdict verdict, const std::string& answer) {
                        if (verdict == claim_verdict::run) {
                            run_claimed(slot, key, order, deadline, respond);
                            return;
                        }
                        respond(encode_result(from_verdict(verdict, answer)));
                    });
}

void slot_service::run_claimed(std::uint32_t slot, const std::string& key, const run_once_order& order,
                               steady_time deadline, const reply& respond)
{
    if (clock_.now() >= deadline) {
        state(slot).claims->not_run(key);
        respond(encode_result(refused(refusal_reason::deadline)));
        return;
    }
    const auto tenure = state(slot).claims->tenure();
    runner_(order, deadline, [=, this, alive = std::weak_ptr{alive_}](const run_once_result& result) {
        respond(encode_result(result));
        if (alive.expired() || state(slot).claims->tenure() != tenure) {
            return; // Another node answers for the key and takes the outcome as unknown.
        }
        auto& claims = *state(slot).claims;
        if (result.what == outcome::answered) {
            claims.finished(key, result.answer);
        }
        else if (result.what == outcome::not_run) {
            claims.not_run(key);
        }
        else {
            claims.outcome_unknown(key);
        }
    });
}

} // namespace wagtailhatch
