#include "include/peer/peer_messages.h"

#include "include/http/http_status.h"
#include "src/core/wire.h"
#include "src/http/header_rules.h"

#include <algorithm>
#include <cmath>

namespace wagtailhatch {
namespace {

using std::chrono::microseconds;

constexpr std::uint32_t max_entries = 20'000; ///< Maximum length of any list in a message.
// A longer delay from the wire is not plausible.
constexpr duration max_grant_retry_after = std::chrono::seconds{10};
constexpr duration max_service_time = std::chrono::minutes{10};
// Flag bits of a load report. Nodes that know no pace of any service send only the first bit, so their
// reports are read as before.
constexpr std::uint32_t downstream_failing_flag = 1;
constexpr std::uint32_t pace_flag = 2;        ///< Pace and service time follow the other fields.
constexpr std::uint32_t least_share_flag = 4; ///< The least shares of both levels follow these.
// Flag bits of a call. Only the first is sent for calls that may run in any region.
constexpr std::uint32_t repeated_flag = 1;
constexpr std::uint32_t regions_flag = 2; ///< The allowed regions follow the rate limit.
// Tag of an optional field of a node's status.
constexpr std::uint8_t evacuation_tag = 1;
// Flag bits of a status.
constexpr std::uint32_t allocates_flag = 1;
constexpr std::uint32_t misses_receiver_flag = 2;

std::int64_t to_micros(duration d)
{
    return std::chrono::duration_cast<microseconds>(d).count();
}

void put(wire_writer& w, const member& m)
{
    w.text(m.address).text(m.id).text(m.service).text(m.data_centre).u64(m.incarnation);
    w.u8(static_cast<std::uint8_t>(m.state));
}

/// A rate or pace from the wire; anything but a finite, positive number counts as none.
double positive_or_zero(double value)
{
    return std::isfinite(value) && value > 0 ? value : 0;
}

member get_member(wire_reader& r)
{
    member m;
    m.address = r.text();
    m.id = r.text();
    m.service = r.text();
    m.data_centre = r.text();
    m.incarnation = r.u64();
    m.state = static_cast<member_state>(std::min<std::uint8_t>(r.u8(), 3));
    return m;
}

void put(wire_writer& w, const load_report& l)
{
    const bool has_pace = l.pace > 0;
    const bool has_least_share = l.own.least_share() > 0 || l.path.least_share() > 0;
    const auto flags = (l.downstream_failing ? downstream_failing_flag : 0U) | (has_pace ? pace_flag : 0U) |
                       (has_least_share ? least_share_flag : 0U);
    w.u32(l.in_flight).u32(l.limit).u32(l.queued).u8(static_cast<std::uint8_t>(flags));
    w.i64(to_micros(l.estimated_wait)).f64(l.rate_limit);
    w.f64(l.own.value()).f64(l.path.value());
    if (has_pace) {
        w.f64(l.pace).i64(to_micros(l.service_time));
    }
    if (has_least_share) {
        w.f64(l.own.least_share()).f64(l.path.least_share());
    }
}

load_report get_load(wire_reader& r)
{
    load_report l;
    l.in_flight = r.u32();
    l.limit = r.u32();
    l.queued = r.u32();
    const std::uint32_t flags = r.u8();
    l.downstream_failing = (flags & downstream_failing_flag) != 0;
    l.estimated_wait = microseconds{r.i64()};
    l.rate_limit = positive_or_zero(r.f64());
    l.own = admit_level{r.f64()};
    l.path = admit_level{r.f64()};
    if ((flags & pace_flag) != 0) {
        l.pace = positive_or_zero(r.f64());
        l.service_time = std::clamp<duration>(microseconds{r.i64()}, duration{}, max_service_time);
    }
    if ((flags & least_share_flag) != 0) {
        l.own = admit_level{l.own.value(), r.f64()};
        l.path = admit_level{l.path.value(), r.f64()};
    }
    return l;
}

void put(wire_writer& w, const node_status& s)
{
    put(w, s.self);
    w.u32(s.slots).u8(s.cold ? 1 : 0).u8(s.reads_store ? 1 : 0);
    put(w, s.load);
    const auto flags =
        (s.allocates_rates ? allocates_flag : 0U) | (s.misses_receiver ? misses_receiver_flag : 0U);
    w.u64(s.config_version).u8(static_cast<std::uint8_t>(flags));
}

node_status get_status(wire_reader& r)
{
    node_status s;
    s.self = get_member(r);
    s.slots = r.u32();
    s.cold = r.u8() != 0;
    s.reads_store = r.u8() != 0;
    s.load = get_load(r);
    s.config_version = r.u64();
    const auto flags = r.u8();
    s.allocates_rates = (flags & allocates_flag) != 0;
    s.misses_receiver = (flags & misses_receiver_flag) != 0;
    return s;
}

/// Optional fields follow the others, each after its tag.
void put_optional(wire_writer& w, const node_status& s)
{
    if (!s.evacuation) {
        return;
    }
    w.u8(evacuation_tag).u64(s.evacuation->version);
    w.u32(static_cast<std::uint32_t>(s.evacuation->data_centres.size()));
    for (const auto& [name, row_version] : s.evacuation->data_centres) {
        w.text(name).u64(row_version);
    }
}

/// Reads the optional fields at the end of a message. Returns false if they are malformed.
bool get_optional(wire_reader& r, node_status& s)
{
    if (!r.ok() || r.bytes_left() == 0) {
        return r.ok();
    }
    if (r.u8() != evacuation_tag) {
        return false;
    }
    evacuation_set set;
    set.version = r.u64();
    const auto count = r.u32();
    if (count > max_evacuated_data_centres) {
        return false;
    }
    for (std::uint32_t i = 0; i < count && r.ok(); ++i) {
        auto name = r.text();
        set.data_centres[std::move(name)] = r.u64();
    }
    s.evacuation = std::move(set);
    return r.ok();
}

void put(wire_writer& w, const http_headers& headers)
{
    w.u32(static_cast<std::uint32_t>(headers.size()));
    for (const auto& h : headers) {
        w.text(h.name).str(h.value);
    }
}

http_headers get_headers(wire_reader& r)
{
    http_headers headers;
    const auto count = std::min(r.u32(), max_entries);
    for (std::uint32_t i = 0; i < count && r.ok(); ++i) {
        http_header h;
        h.name = r.text();
        h.value = r.str();
        headers.push_back(std::move(h));
    }
    return headers;
}

allowed_regions get_regions(wire_reader& r)
{
    allowed_regions regions{std::in_place};
    const auto count = r.u32();
    if (count > max_entries) {
        r.tail(); // The message is malformed: the fields that follow cannot be found.
    }
    for (std::uint32_t i = 0; i < count && r.ok(); ++i) {
        regions->insert(r.text());
    }
    return regions;
}

template <typename T>
std::optional<T> if_complete(const wire_reader& r, T value)
{
    return r.complete() ? std::optional<T>{std::move(value)} : std::nullopt;
}

} // namespace

std::string encode(const node_status& m)
{
    wire_writer w;
    put(w, m);
    put_optional(w, m);
    return w.take();
}

std::optional<node_status> decode_status(std::string_view bytes)
{
    wire_reader r{bytes};
    auto s = get_status(r);
    return get_optional(r, s) ? if_complete(r, std::move(s)) : std::nullopt;
}

std::string encode(const hello_message& m)
{
    wire_writer w;
    put(w, m.status);
    w.u32(static_cast<std::uint32_t>(m.known.size()));
    for (const auto& address : m.known) {
        w.text(address);
    }
    put_optional(w, m.status);
    return w.take();
}

std::optional<hello_message> decode_hello(std::string_view bytes)
{
    wire_reader r{bytes};
    hello_message m;
    m.status = get_status(r);
    const auto count = std::min(r.u32(), max_entries);
    for (std::uint32_t i = 0; i < count && r.ok(); ++i) {
        m.known.push_back(r.text());
    }
    return get_optional(r, m.status) ? if_complete(r, std::move(m)) : std::nullopt;
}

std::string encode(const service_call& m, steady_time now)
{
    const auto flags = (m.repeated ? repeated_flag : 0U) | (m.regions ? regions_flag : 0U);
    wire_writer w;
    w.text(m.id).text(m.service).text(m.route).text(m.workspace).text(m.origin);
    w.u8(static_cast<std::uint8_t>(m.level)).u8(m.idempotent ? 1 : 0);
    w.u32(m.depth).u8(static_cast<std::uint8_t>(flags));
    w.i64(to_micros(m.deadline - now)).i64(to_micros(m.soft_deadline - now)).u64(m.fingerprint);
    w.f64(m.target_rate_limit);
    if (m.regions) {
        w.u32(static_cast<std::uint32_t>(m.regions->size()));
        for (const auto& name : *m.regions) {
            w.text(name);
        }
    }
    w.text(m.request.method).str(m.request.target);
    put(w, m.request.headers);
    w.tail(m.request.body);
    return w.take();
}

std::optional<service_call> decode_call(std::string_view bytes, steady_time now)
{
    wire_reader r{bytes};
    service_call m;
    m.id = r.text();
    m.service = r.text();
    m.route = r.text();
    m.workspace = r.text();
    m.origin = r.text();
    m.level = static_cast<importance>(std::min<std::uint8_t>(r.u8(), importance_count - 1));
    m.idempotent = r.u8() != 0;
    m.depth = r.u32();
    const std::uint32_t flags = r.u8();
    m.repeated = (flags & repeated_flag) != 0;
    m.deadline = now + microseconds{r.i64()};
    m.soft_deadline = now + microseconds{r.i64()};
    m.fingerprint = r.u64();
    m.target_rate_limit = positive_or_zero(r.f64());
    if ((flags & regions_flag) != 0) {
        m.regions = get_regions(r);
    }
    m.request.method = r.text();
    m.request.target = r.str();
    m.request.headers = get_headers(r);
    if (!r.ok() || !names_are_tokens(m.request.headers)) {
        return std::nullopt;
    }
    m.request.body = r.tail();
    return m;
}

std::string encode(const http_response& response, std::optional<std::uint64_t> length,
                   const load_report& load)
{
    wire_writer w;
    put(w, load);
    w.u32(static_cast<std::uint32_t>(response.status)).u8(length ? 1 : 0).u64(length.value_or(0));
    put(w, response.headers);
    w.tail(response.body);
    return w.take();
}

std::optional<reply_message> decode_reply(std::string_view bytes)
{
    wire_reader r{bytes};
    reply_message m;
    m.load = get_load(r);
    m.response.status = static_cast<int>(r.u32());
    if (!http_status::is_final(m.response.status)) {
        return std::nullopt;
    }
    const bool has_length = r.u8() != 0;
    const auto length = r.u64();
    if (has_length) {
        m.length = length;
    }
    m.response.headers = get_headers(r);
    if (!r.ok() || !names_are_tokens(m.response.headers)) {
        return std::nullopt;
    }
    m.response.body = r.tail();
    return m;
}

std::string encode(const call_failure& failure, const load_report& load)
{
    wire_writer w;
    put(w, load);
    w.u8(static_cast<std::uint8_t>(failure.reason)).u8(failure.may_have_run ? 1 : 0);
    w.u8(failure.reached_target ? 1 : 0).i64(to_micros(failure.retry_after)).text(failure.target);
    return w.take();
}

std::optional<failure_message> decode_failure(std::string_view bytes)
{
    wire_reader r{bytes};
    failure_message m;
    m.load = get_load(r);
    m.failure.reason = static_cast<refusal_reason>(
        std::min<std::uint8_t>(r.u8(), static_cast<std::uint8_t>(refusal_reason_names.size() - 1)));
    m.failure.may_have_run = r.u8() != 0;
    m.failure.reached_target = r.u8() != 0;
    m.failure.retry_after = microseconds{r.i64()};
    m.failure.target = r.text();
    return if_complete(r, std::move(m));
}

std::string encode(const config_message& m)
{
    wire_writer w;
    w.u64(m.version).tail(m.document);
    return w.take();
}

std::optional<config_message> decode_config(std::string_view bytes)
{
    wire_reader r{bytes};
    config_message m;
    m.version = r.u64();
    if (!r.ok()) {
        return std::nullopt;
    }
    m.document = r.tail();
    return m;
}

std::string encode(const crash_report& m)
{
    wire_writer w;
    w.u64(m.crash_id).u32(static_cast<std::uint32_t>(m.fingerprints.size()));
    for (const auto f : m.fingerprints) {
        w.u64(f);
    }
    return w.take();
}

std::optional<crash_report> decode_crash(std::string_view bytes)
{
    wire_reader r{bytes};
    crash_report m;
    m.crash_id = r.u64();
    const auto count = std::min(r.u32(), max_entries);
    for (std::uint32_t i = 0; i < count && r.ok(); ++i) {
        m.fingerprints.push_back(r.u64());
    }
    return if_complete(r, std::move(m));
}

std::string encode(const rate_request& m)
{
    wire_writer w;
    w.text(m.workspace).u32(m.tokens).u32(m.sequence);
    return w.take();
}

std::optional<rate_request> decode_rate_request(std::string_view bytes)
{
    wire_reader r{bytes};
    rate_request m;
    m.workspace = r.text();
    m.tokens = r.u32();
    m.sequence = r.u32();
    return if_complete(r, std::move(m));
}

std::string encode(const rate_grant& m)
{
    wire_writer w;
    w.text(m.workspace).u32(m.tokens).u32(m.sequence).i64(to_micros(m.retry_after));
    return w.take();
}

std::optional<rate_grant> decode_rate_grant(std::string_view bytes)
{
    wire_reader r{bytes};
    rate_grant m;
    m.workspace = r.text();
    m.tokens = r.u32();
    m.sequence = r.u32();
    m.retry_after = std::clamp<duration>(microseconds{r.i64()}, duration{}, max_grant_retry_after);
    return if_complete(r, std::move(m));
}

std::string encode(const store_eras& m)
{
    wire_writer w;
    w.u64(m.newest).u64(m.evacuation);
    return w.take();
}

std::optional<store_eras> decode_store_eras(std::string_view bytes)
{
    wire_reader r{bytes};
    store_eras m;
    m.newest = r.u64();
    m.evacuation = r.u64();
    return if_complete(r, m);
}

} // namespace wagtailhatch
