#include "src/ownership/slot_records.h"

#include "src/core/wire.h"

#include <algorithm>

namespace wagtailhatch {

namespace {

// Keeps sums of nano_tokens well inside 64 bits.
constexpr double most_rate = 1e9;
constexpr std::uint64_t most_burst = 1'000'000'000;

} // namespace

std::string tagged(record_type type, std::string_view body)
{
    std::string record(1, static_cast<char>(type));
    return record.append(body);
}

record_type type_of(std::string_view record)
{
    return record.empty() ? record_type{} : static_cast<record_type>(record.front());
}

std::string encode_mint(const std::string& workspace, const mint_copy& copy)
{
    wire_writer w;
    return w.str(workspace).i64(copy.available).i64(copy.outstanding).f64(copy.rate).u64(copy.burst).take();
}

std::optional<std::pair<std::string, mint_copy>> decode_mint(std::string_view body)
{
    wire_reader r{body};
    std::pair<std::string, mint_copy> m;
    m.first = r.str();
    m.second.available = std::max<nano_tokens>(0, r.i64());
    m.second.outstanding = std::max<nano_tokens>(0, r.i64());
    m.second.rate = r.f64();
    m.second.burst = r.u64();
    const bool sane = m.second.rate >= 0 && m.second.rate < most_rate && m.second.burst < most_burst;
    return r.complete() && sane ? std::optional{m} : std::nullopt;
}

std::string encode_gate(const share_gate::record& record)
{
    wire_writer w;
    return w.u64(record.version).u64(record.adopted).u64(record.stamp).u8(record.raised ? 1 : 0).take();
}

std::optional<share_gate::record> decode_gate(std::string_view body)
{
    wire_reader r{body};
    share_gate::record record;
    record.version = r.u64();
    record.adopted = r.u64();
    record.stamp = r.u64();
    record.raised = r.u8() != 0;
    return r.complete() ? std::optional{record} : std::nullopt;
}

std::string encode_moved(const std::string& workspace, duration age)
{
    wire_writer w;
    return w.str(workspace).i64(age.count()).take();
}

std::optional<std::pair<std::string, duration>> decode_moved(std::string_view body)
{
    wire_reader r{body};
    std::pair<std::string, duration> m;
    m.first = r.str();
    m.second = duration{std::max<std::int64_t>(0, r.i64())};
    return r.complete() ? std::optional{m} : std::nullopt;
}

std::string encode_age(duration age)
{
    wire_writer w;
    return w.i64(age.count()).take();
}

std::optional<duration> decode_age(std::string_view body)
{
    wire_reader r{body};
    const duration age{std::max<std::int64_t>(0, r.i64())};
    return r.complete() ? std::optional{age} : std::nullopt;
}

} // namespace wagtailhatch
