#include "include/ownership/run_once_home.h"

#include "src/core/wire.h"

#include <algorithm>
#include <utility>

namespace wagtailhatch {

namespace {

// First byte of a record after the service's own tag.
enum class claim_record : std::uint8_t { set = 1, release, lost };

std::string encode_set(const std::string& key, claim_state state, duration age)
{
    wire_writer w;
    w.u8(static_cast<std::uint8_t>(claim_record::set)).u8(static_cast<std::uint8_t>(state));
    return w.i64(age.count()).str(key).take();
}

std::string encode_release(const std::string& key)
{
    wire_writer w;
    return w.u8(static_cast<std::uint8_t>(claim_record::release)).str(key).take();
}

std::string encode_lost(duration age)
{
    wire_writer w;
    return w.u8(static_cast<std::uint8_t>(claim_record::lost)).i64(age.count()).take();
}

} // namespace

run_once_home::run_once_home(run_once_options options, const clock& time, replicate copy)
    : options_{options}
    , clock_{time}
    , copy_{std::move(copy)}
{
}

run_once_home::claim& run_once_home::put(const std::string& key, claim_state state, steady_time changed)
{
    auto [found, added] = claims_.try_emplace(key);
    auto& c = found->second;
    if (!added) {
        order_.erase(c.order);
    }
    c.order = order_.insert(order_.end(), key);
    c.state = state;
    c.changed = changed;
    return c;
}

void run_once_home::erase(const std::string& key)
{
    const auto found = claims_.find(key);
    if (found != claims_.end()) {
        answer_bytes_ -= found->second.answer.size();
        order_.erase(found->second.order);
        claims_.erase(found);
    }
}

void run_once_home::begin(const std::string& key, bool first_attempt, bool history_known,
                          steady_time deadline, begun done)
{
    const auto found = claims_.find(key);
    if (found != claims_.end()) {
        auto& c = found->second;
        if (c.state == claim_state::done) {
            done(c.has_answer ? claim_verdict::replay : claim_verdict::already_run, c.answer);
        }
        else if (c.state == claim_state::unknown) {
            done(claim_verdict::unknown, {});
        }
        else if (clock_.now() >= deadline) {
            done(claim_verdict::in_progress, {});
        }
        else {
            c.waiting.push_back({deadline, std::move(done)});
            waited_for_.push_back(key);
        }
        return;
    }
    if ((history_lost() || !history_known) && !first_attempt) {
        done(claim_verdict::unknown, {});
        return;
    }
    if (claims_.size() >= options_.most_claims) {
        done(claim_verdict::not_run, {});
        return;
    }
    auto& c = put(key, claim_state::claimed, clock_.now());
    c.generation = ++generation_;
    c.start = std::move(done);
    c.start_by = std::min(deadline, clock_.now() + options_.most_start);
    waited_for_.push_back(key);
    copy_(encode_set(key, claim_state::claimed, duration{0}),
          [this, key, generation = c.generation](bool copied) { claimed(key, generation, copied); });
}

void run_once_home::claimed(const std::string& key, std::uint64_t generation, bool copied)
{
    const auto found = claims_.find(key);
    if (found == claims_.end() || found->second.generation != generation || !found->second.start) {
        return;
    }
    if (!copied) {
        not_run(key);
        return;
    }
    const auto start = std::exchange(found->second.start, nullptr);
    found->second.state = claim_state::running;
    start(claim_verdict::run, {});
}

void run_once_home::end_waiting(claim& c, claim_verdict verdict, const std::string& answer)
{
    const auto waiting = std::move(c.waiting);
    c.waiting.clear();
    for (const auto& w : waiting) {
        w.done(verdict, answer);
    }
}

void run_once_home::finished(const std::string& key, const std::string& answer)
{
    const auto found = claims_.find(key);
    if (found == claims_.end() || found->second.state != claim_state::running) {
        return;
    }
    auto& c = put(key, claim_state::done, clock_.now());
    if (answer.size() <= options_.most_answer && answer_bytes_ + answer.size() <= options_.most_answers) {
        answer_bytes_ += answer.size();
        c.answer = answer;
        c.has_answer = true;
    }
    copy_(encode_set(key, claim_state::done, duration{0}), {});
    end_waiting(claims_.at(key), claim_verdict::replay, answer);
}

void run_once_home::not_run(const std::string& key)
{
    const auto found = claims_.find(key);
    if (found == claims_.end() || found->second.state == claim_state::done ||
        found->second.state == claim_state::unknown) {
        return;
    }
    auto waiting = std::move(found->second.waiting);
    if (found->second.start) {
        waiting.push_back({{}, std::move(found->second.start)});
    }
    erase(key);
    copy_(encode_release(key), {});
    for (const auto& w : waiting) {
        w.done(claim_verdict::not_run, {});
    }
}

void run_once_home::outcome_unknown(const std::string& key)
{
    const auto found = claims_.find(key);
    if (found == claims_.end() || found->second.state != claim_state::running) {
        return;
    }
    auto& c = put(key, claim_state::unknown, clock_.now());
    copy_(encode_set(key, claim_state::unknown, duration{0}), {});
    end_waiting(c, claim_verdict::unknown, {});
}

void run_once_home::take_over()
{
    for (auto& [key, c] : claims_) {
        if (c.state == claim_state::claimed || c.state == claim_state::running) {
            c.state = claim_state::unknown;
            // The memory time counts from the takeover: the order may have run until then.
            c.changed = clock_.now();
            order_.splice(order_.end(), order_, c.order);
        }
    }
}

void run_once_home::lose_history()
{
    lost_at_ = clock_.now();
}

bool run_once_home::history_lost() const
{
    return lost_at_ && clock_.now() - *lost_at_ < options_.memory;
}

void run_once_home::step_down()
{
    std::vector<begun> not_started;
    std::vector<begun> waiting;
    for (auto& [key, c] : claims_) {
        if (c.start) {
            not_started.push_back(std::move(c.start));
        }
        for (auto& w : c.waiting) {
            waiting.push_back(std::move(w.done));
        }
    }
    reset();
    for (const auto& done : not_started) {
        done(claim_verdict::not_run, {});
    }
    for (const auto& done : waiting) {
        done(claim_verdict::in_progress, {});
    }
}

void run_once_home::tick()
{
    const auto now = clock_.now();
    std::vector<begun> late;
    std::vector<std::string> not_started;
    for (const auto& key : waited_for_) {
        const auto found = claims_.find(key);
        if (found == claims_.end()) {
            continue;
        }
        if (found->second.start && now >= found->second.start_by) {
            not_started.push_back(key);
        }
        auto& waiting = found->second.waiting;
        for (auto i = waiting.begin(); i != waiting.end();) {
            if (now >= i->deadline) {
                late.push_back(std::move(i->done));
                i = waiting.erase(i);
            }
            else {
                ++i;
            }
        }
    }
    std::erase_if(waited_for_, [&](const std::string& key) {
        const auto found = claims_.find(key);
        return found == claims_.end() || (found->second.waiting.empty() && !found->second.start);
    });
    while (!order_.empty()) {
        const auto& c = claims_.at(order_.front());
        const bool finished = c.state == claim_state::done || c.state == claim_state::unknown;
        if (!finished || now - c.changed < options_.memory) {
            break;
        }
        erase(std::string{order_.front()});
    }
    for (const auto& key : not_started) {
        not_run(key);
    }
    for (const auto& done : late) {
        done(claim_verdict::in_progress, {});
    }
}

std::vector<std::string> run_once_home::snapshot() const
{
    std::vector<std::string> records;
    records.reserve(claims_.size() + 1);
    const auto now = clock_.now();
    if (lost_at_) {
        records.push_back(encode_lost(now - *lost_at_));
    }
    for (const auto& key : order_) {
        const auto& c = claims_.at(key);
        records.push_back(encode_set(key, c.state, now - c.changed));
    }
    return records;
}

bool run_once_home::apply(const std::string& record)
{
    wire_reader r{record};
    const auto type = static_cast<claim_record>(r.u8());
    const auto now = clock_.now();
    if (type == claim_record::set) {
        const auto state = r.u8();
        const duration age{std::max<std::int64_t>(0, r.i64())};
        const auto key = r.str();
        if (!r.complete() || state > static_cast<std::uint8_t>(claim_state::unknown)) {
            return false;
        }
        put(key, static_cast<claim_state>(state), now - age);
        return true;
    }
    if (type == claim_record::release) {
        const auto key = r.str();
        if (r.complete()) {
            erase(key);
        }
        return r.complete();
    }
    if (type == claim_record::lost) {
        const duration age{std::max<std::int64_t>(0, r.i64())};
        if (r.complete()) {
            lost_at_ = now - age;
        }
        return r.complete();
    }
    return false;
}

void run_once_home::reset()
{
    ++tenure_;
    claims_.clear();
    order_.clear();
    waited_for_.clear();
    lost_at_.reset();
    answer_bytes_ = 0;
}

std::optional<claim_state> run_once_home::state(const std::string& key) const
{
    const auto found = claims_.find(key);
    return found == claims_.end() ? std::nullopt : std::optional{found->second.state};
}

} // namespace wagtailhatch
