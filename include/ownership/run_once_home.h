#pragma once

#include "include/core/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace wagtailhatch {

enum class claim_state : std::uint8_t { claimed, running, done, unknown };

enum class claim_verdict : std::uint8_t {
    run,         ///< The caller of begin() must run it and then report the outcome.
    replay,      ///< Finished; the answer is attached.
    already_run, ///< Finished; the answer was not kept.
    in_progress, ///< Still running when the deadline passed.
    unknown,     ///< May have run.
    not_run,     ///< Refused; did not run because of this call.
};

struct run_once_options {
    std::chrono::seconds memory{24 * 3600};
    std::size_t most_claims = 200'000;
    std::size_t most_answer = std::size_t{64} << 10;  ///< Bytes of one kept answer.
    std::size_t most_answers = std::size_t{32} << 20; ///< Bytes of all kept answers of a slot.
};

/// Claims on run-once keys of one slot, at its owner or (as a copy) at its partner. One thread.
class run_once_home {
public:
    using begun = std::function<void(claim_verdict, const std::string& answer)>;
    /// Copies a record to the partner; see slot_pair_channel::append.
    using replicate = std::function<void(std::string record, std::function<void(bool)> done)>;

    run_once_home(run_once_options options, const clock& time, replicate copy);

    /// Claims a key. A repeat gets the outcome, waiting for it until deadline. The claim is with the partner
    /// before the verdict `run`.
    void begin(const std::string& key, bool first_attempt, steady_time deadline, begun done);
    void finished(const std::string& key, std::string answer);
    /// Provably no byte reached a target: releases the key.
    void not_run(const std::string& key);
    void outcome_unknown(const std::string& key);

    /// Takes over: whatever was claimed at the old owner may have run.
    void take_over();
    /// Claims made before are not all known: keys not in memory are unknown for the memory time.
    void lose_history();
    /// No longer the owner: waiting calls end. Runs in progress report to their callers as before.
    void step_down();
    /// Ends waiting calls whose deadline passed and forgets claims older than the memory time.
    void tick();
    void set_memory(std::chrono::seconds memory) { options_.memory = memory; }

    std::vector<std::string> snapshot() const;
    bool apply(const std::string& record);
    void reset();

    std::size_t size() const { return claims_.size(); }
    bool history_lost() const;
    std::optional<claim_state> state(const std::string& key) const;

private:
    struct waiter {
        steady_time deadline;
        begun done;
    };
    struct claim {
        claim_state state = claim_state::claimed;
        bool has_answer = false;
        std::string answer;
        steady_time changed{};
        std::vector<waiter> waiting;
        std::list<std::string>::iterator order;
    };
    claim& put(const std::string& key, claim_state state, steady_time changed);
    void erase(const std::string& key);
    void end_waiting(claim& c, claim_verdict verdict, const std::string& answer);
    void set_state(const std::string& key, claim_state state);

    run_once_options options_;
    const clock& clock_;
    replicate copy_;
    std::unordered_map<std::string, claim> claims_;
    std::list<std::string> order_; ///< Least recently changed first.
    std::optional<steady_time> lost_at_;
    std::size_t answer_bytes_ = 0;
};

} // namespace wagtailhatch
