#include "src/node/call_message.h"

#include "src/core/bounded_archive.h"

#include <algorithm>

namespace wagtailhatch {
namespace {

template <typename Rep, typename Period>
std::int64_t count_of(std::chrono::duration<Rep, Period> d)
{
    return static_cast<std::int64_t>(d.count());
}

} // namespace

template <typename Archive>
void serialize(Archive& ar, http_header& h)
{
    ar(h.name, h.value);
}

template <typename Archive>
void serialize(Archive& ar, http_request& r)
{
    ar(r.method, r.target, r.headers, r.body);
}

template <typename Archive>
void serialize(Archive& ar, http_response& r)
{
    ar(r.status, r.headers, r.body);
}

template <typename Archive>
void serialize(Archive& ar, trace_context& t)
{
    ar(t.trace_id, t.span_id, t.sampled);
}

namespace {

template <typename Enum>
Enum checked_enum(std::uint8_t value, std::size_t count)
{
    if (value >= count) {
        throw cereal::Exception("unknown enumerator");
    }
    return static_cast<Enum>(value);
}

void require_end(const bounded_input_archive& ar)
{
    if (ar.remaining() != 0) {
        throw cereal::Exception("bytes after the message");
    }
}

// An hour bounds what a hostile or faulty remaining time can do to arithmetic on deadlines.
constexpr std::int64_t max_remaining_us = std::int64_t{3600} * 1'000'000;

} // namespace

std::string encode(const call_message& m, steady_time now)
{
    std::string out;
    out.reserve(256 + m.request.body.size());
    bounded_output_archive ar{out};
    const auto remaining =
        count_of(std::chrono::duration_cast<std::chrono::microseconds>(m.context.deadline - now));
    ar(m.service, m.context.route, m.context.workspace, static_cast<std::uint8_t>(m.context.level), remaining,
       m.context.retry_tokens, m.context.depth, m.context.run_once_key, m.context.fingerprint,
       m.context.trace, m.idempotent, m.first_attempt, m.request);
    return out;
}

result<call_message> decode_call_message(const std::string& bytes, steady_time now)
{
    try {
        call_message m;
        std::uint8_t level = 0;
        std::int64_t remaining = 0;
        bounded_input_archive ar{bytes};
        ar(m.service, m.context.route, m.context.workspace, level, remaining, m.context.retry_tokens,
           m.context.depth, m.context.run_once_key, m.context.fingerprint, m.context.trace, m.idempotent,
           m.first_attempt, m.request);
        require_end(ar);
        m.context.level = checked_enum<importance>(level, importance_count);
        m.context.deadline =
            now + std::chrono::microseconds{std::clamp<std::int64_t>(remaining, 0, max_remaining_us)};
        return m;
    }
    catch (const cereal::Exception& e) {
        return make_error(errc::malformed, std::string{"call message: "} + e.what());
    }
}

std::string encode(const call_reply& r)
{
    std::string out;
    out.reserve(128 + r.response.body.size());
    bounded_output_archive ar{out};
    ar(static_cast<std::uint8_t>(r.result), static_cast<std::uint8_t>(r.reason), r.downstream_refused,
       count_of(r.retry_after), r.retry_tokens, r.leaving, r.load.in_flight, r.load.limit, r.load.queued,
       count_of(r.load.estimated_wait), r.load.own.value(), r.load.path.value(), r.response);
    return out;
}

result<call_reply> decode_call_reply(const std::string& bytes)
{
    try {
        call_reply r;
        std::uint8_t kind = 0;
        std::uint8_t reason = 0;
        std::int64_t retry_after = 0;
        std::int64_t wait = 0;
        double own = 0;
        double path = 0;
        bounded_input_archive ar{bytes};
        ar(kind, reason, r.downstream_refused, retry_after, r.retry_tokens, r.leaving, r.load.in_flight,
           r.load.limit, r.load.queued, wait, own, path, r.response);
        require_end(ar);
        r.result = checked_enum<outcome>(kind, outcome_names.size());
        r.reason = checked_enum<refusal_reason>(reason, refusal_reason_names.size());
        r.retry_after = std::chrono::milliseconds{std::clamp<std::int64_t>(retry_after, 0, 3'600'000)};
        r.load.estimated_wait =
            std::chrono::nanoseconds{std::clamp<std::int64_t>(wait, 0, max_remaining_us * 1000)};
        r.load.own = admit_level{own};
        r.load.path = admit_level{path};
        return r;
    }
    catch (const cereal::Exception& e) {
        return make_error(errc::malformed, std::string{"call reply: "} + e.what());
    }
}

} // namespace wagtailhatch
