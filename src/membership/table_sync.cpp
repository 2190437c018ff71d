#include "src/membership/table_sync.h"

#include <algorithm>

namespace wagtailhatch {
namespace {

/// Entries take 8 bytes; this many fit into a message beside records.
constexpr std::size_t members_per_bucket = 64;
/// Questions of one round. The rest of a large difference waits for the next round.
constexpr std::size_t max_questions = 32;

std::uint16_t table_size(const member_table& table)
{
    return static_cast<std::uint16_t>(std::min<std::size_t>(table.live_count(), UINT16_MAX));
}

} // namespace

group_message table_sync::question(const std::string& service, const member_table& table, bool detailed)
{
    group_message m;
    m.type = group_message::kind::digest;
    m.service = service;
    m.sequence = ++sequence_;
    m.table_digest = table.digest();
    m.table_size = table_size(table);
    m.detailed = detailed;
    if (detailed) {
        m.bucket = static_cast<std::uint16_t>(bucket_);
        m.buckets = static_cast<std::uint16_t>(buckets_);
        m.entries = table.entries(bucket_, buckets_);
    }
    open_ = true;
    ++asked_;
    return m;
}

group_message table_sync::begin(const std::string& service, const member_table& table)
{
    asked_ = 0;
    bucket_ = 0;
    buckets_ = 1;
    return question(service, table, table.live_count() <= 1);
}

std::optional<group_message> table_sync::next(const group_message& answer, const member_table& table,
                                              bool changed)
{
    open_ = false;
    if (answer.table_digest == table.digest() || asked_ >= max_questions) {
        return std::nullopt;
    }
    const auto largest = std::max<std::size_t>(answer.table_size, table.live_count());
    const auto buckets = std::max<std::size_t>(1, (largest + members_per_bucket - 1) / members_per_bucket);
    if (!answer.detailed || buckets > buckets_) {
        bucket_ = 0;
        buckets_ = buckets;
    }
    else if (!changed && ++bucket_ >= buckets_) {
        return std::nullopt; // The other side is behind, not this one.
    }
    return question(answer.service, table, true);
}

group_message table_sync::answer(const group_message& question, const member_table& table)
{
    group_message m;
    m.type = group_message::kind::answer;
    m.service = question.service;
    m.sequence = question.sequence;
    m.table_digest = table.digest();
    m.table_size = table_size(table);
    m.detailed = question.detailed;
    if (question.detailed && question.table_digest != m.table_digest && question.bucket < question.buckets) {
        m.updates = table.differences(question.entries, question.bucket, question.buckets);
    }
    return m;
}

} // namespace wagtailhatch
