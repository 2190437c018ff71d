#include "src/membership/instance_registration.h"

#include <algorithm>
#include <utility>

namespace wagtailhatch {

instance_registration::instance_registration(table_service& table, const clock& time, random_source& random,
                                             std::string key)
    : table_{table}
    , key_{std::move(key)}
    , delay_{time, random}
{
}

void instance_registration::start(const instance_row& row, report done)
{
    wanted_ = row;
    done_ = std::move(done);
    delay_.reset();
    tick();
}

void instance_registration::leave(const instance_row& row, report done)
{
    wanted_ = row;
    wanted_->state = member_state::left;
    done_ = std::move(done);
    delay_.reset();
    tick();
}

void instance_registration::tick()
{
    if (wanted_ && !in_flight_ && delay_.due()) {
        attempt();
    }
}

void instance_registration::attempt()
{
    in_flight_ = true;
    table_.read(key_, [this, alive = std::weak_ptr{alive_}](const result<table_row>& found) {
        if (!alive.expired()) {
            in_flight_ = false;
            received(found);
        }
    });
}

void instance_registration::received(const result<table_row>& found)
{
    if (!wanted_) {
        return;
    }
    const bool leaving = wanted_->state == member_state::left;
    if (!found) {
        if (found.failure().code == errc::not_found && leaving && wanted_->incarnation == 0) {
            finish(); // It leaves before it registered.
        }
        else if (found.failure().code == errc::not_found) {
            write({write_condition::kind::must_not_exist, {}});
        }
        else {
            postpone();
        }
        return;
    }
    if (const auto row = parse_instance_row(found->value)) {
        const bool own = row->process == wanted_->process;
        if (own && row->state == wanted_->state) {
            wanted_->incarnation = std::max(wanted_->incarnation, row->incarnation);
            finish(); // An earlier write took effect although its answer was lost.
            return;
        }
        if (leaving && !own && row->incarnation > wanted_->incarnation) {
            finish(); // The row belongs to the next process of this instance.
            return;
        }
        wanted_->incarnation = std::max(wanted_->incarnation, row->incarnation + (own ? 0 : 1));
    }
    write({write_condition::kind::must_match, found->etag});
}

void instance_registration::write(const write_condition& condition)
{
    in_flight_ = true;
    writing_ = wanted_->state;
    table_.write(key_, encode_instance_row(*wanted_), condition,
                 [this, alive = std::weak_ptr{alive_}](const result<std::string>& etag) {
                     if (!alive.expired()) {
                         in_flight_ = false;
                         written(etag);
                     }
                 });
}

void instance_registration::written(const result<std::string>& etag)
{
    if (!wanted_) {
        return;
    }
    if (etag && writing_ == wanted_->state) {
        finish();
    }
    else if (etag || etag.failure().code == errc::conflict) {
        delay_.reset(); // Another process wrote, or leave() came meanwhile: read again at the next tick.
    }
    else {
        postpone();
    }
}

void instance_registration::finish()
{
    const auto row = std::exchange(wanted_, std::nullopt);
    delay_.reset();
    if (const auto done = std::exchange(done_, nullptr)) {
        done(row);
    }
}

void instance_registration::postpone()
{
    delay_.grow();
    if (const auto done = done_) {
        done(std::nullopt);
    }
}

} // namespace wagtailhatch
