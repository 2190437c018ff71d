// The part of slot_ownership that reads and writes rows.
#include "include/ownership/slot_ownership.h"

#include <algorithm>
#include <charconv>

namespace wagtailhatch {

std::string slot_ownership::key(std::uint32_t slot) const
{
    return "slot/" + options_.data_centre + "/" + std::to_string(slot);
}

duration slot_ownership::jittered(duration d) const
{
    return std::chrono::duration_cast<duration>(d * (0.5 + random_.unit()));
}

void slot_ownership::back_off(std::uint32_t slot)
{
    auto& s = slots_[slot];
    s.next_try = clock_.now() + jittered(s.retry);
    s.retry = std::min<duration>(s.retry * 2, options_.longest_retry);
}

void slot_ownership::seal(std::uint32_t slot)
{
    auto& s = slots_[slot];
    if (!s.sealed) {
        s.sealed = true;
        events_.on_suspended(slot, s.row.epoch);
    }
}

void slot_ownership::unseal(std::uint32_t slot)
{
    auto& s = slots_[slot];
    if (s.sealed) {
        s.sealed = false;
        events_.on_resumed(slot, s.row.epoch);
    }
}

// Reads before every write, so that a pair is not sealed while the table is away.
void slot_ownership::attempt(std::uint32_t slot)
{
    slots_[slot].busy = true;
    ++reads_;
    table_.read(key(slot), [this, slot, alive = std::weak_ptr{alive_}](const result<table_row>& r) {
        if (alive.expired()) {
            return;
        }
        auto& s = slots_[slot];
        s.busy = false;
        const bool missing = !r && r.failure().code == errc::not_found;
        if (!r && !missing) {
            back_off(slot);
            return;
        }
        s.wanted = false;
        if (r) {
            const auto row = decode_row(r.value().value);
            if (!row || row.value().epoch < s.row.epoch) {
                back_off(slot);
                return;
            }
            adopt(slot, row.value());
        }
        slot_row next;
        if (!decide(slot, next)) {
            if (!s.may_land) {
                back_off(slot);
                return;
            }
            // A write of unknown outcome may still take effect. Only another write settles it.
            next = s.attempted;
        }
        if (count_differs_ || next.epoch != s.row.epoch + 1 || missing != (s.row.epoch == 0)) {
            back_off(slot);
            return;
        }
        write(slot, next,
              missing ? write_condition{}
                      : write_condition{write_condition::kind::must_match, r.value().etag});
    });
}

void slot_ownership::write(std::uint32_t slot, const slot_row& next, const write_condition& condition)
{
    // From here on the row may change at any moment, so nothing more may be done under the old epoch.
    seal(slot);
    auto& s = slots_[slot];
    s.busy = true;
    s.attempted = next;
    ++writes_;
    table_.write(key(slot), encode_row(next), condition,
                 [this, slot, next, alive = std::weak_ptr{alive_}](const result<std::string>& r) {
                     if (!alive.expired()) {
                         written(slot, next, r);
                     }
                 });
}

void slot_ownership::written(std::uint32_t slot, const slot_row& next, const result<std::string>& r)
{
    auto& s = slots_[slot];
    s.busy = false;
    if (r) {
        adopt(slot, next);
        events_.on_row_written(slot, next);
        check_handed_over();
        return;
    }
    if (r.failure().code == errc::unavailable) {
        if (!s.may_land) {
            unseal(slot);
        }
    }
    else if (s.row.epoch < next.epoch) {
        // Conflict: another content is in force. Otherwise this write may have taken effect or still may.
        s.may_land = true;
    }
    back_off(slot);
}

bool slot_ownership::is_reader() const
{
    const auto name = "slots/" + options_.data_centre;
    const auto own = rendezvous_weight(name, self_.id);
    const auto higher = std::count_if(live_.begin(), live_.end(),
                                      [&](const node_ref& m) { return rendezvous_weight(name, m.id) > own; });
    return higher < 2;
}

void slot_ownership::read_all()
{
    listing_ = true;
    ++reads_;
    table_.list("slot/" + options_.data_centre + "/",
                [this, alive = std::weak_ptr{alive_}](const result<std::vector<table_row>>& rows) {
                    if (!alive.expired()) {
                        listed(rows);
                    }
                });
}

void slot_ownership::listed(const result<std::vector<table_row>>& rows)
{
    listing_ = false;
    if (!rows) {
        next_list_ = clock_.now() + jittered(list_retry_);
        list_retry_ = std::min<duration>(list_retry_ * 2, options_.longest_retry);
        return;
    }
    listed_once_ = true;
    list_retry_ = options_.first_retry;
    next_list_ = clock_.now() + jittered(options_.refresh);
    const auto prefix = ("slot/" + options_.data_centre + "/").size();
    for (const auto& r : rows.value()) {
        std::uint32_t slot = 0;
        const char* end = r.key.data() + r.key.size();
        const auto parsed = std::from_chars(r.key.data() + prefix, end, slot);
        const auto row = decode_row(r.value);
        if (parsed.ec == std::errc{} && parsed.ptr == end && row) {
            count_differs_ = count_differs_ || row.value().slots != options_.slots;
            learn(slot, row.value());
        }
    }
}

} // namespace wagtailhatch
