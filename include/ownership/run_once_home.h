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
    std::chrono::milliseconds most_start{1000}; ///< Wait for the partner's acknowledgement; then not run.
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
    /// A key that is not in memory runs if the caller states that it never sent it, or if every earlier claim
    /// is known here: history_known, and no loss within the memory time.
    void begin(const std::string& key, bool first_attempt, bool history_known, steady_time deadline,
               begun done);
    void finished(const std::string& key, const std::string& answer);
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
    /// Changes when this node stops being the owner: outcomes of runs begun before are not for these claims.
    std::uint64_t tenure() const { return tenure_; }
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
        std::uint64_t generation = 0; ///< Tells a claim from a later one on the same key.
        begun start;                  ///< While the partner has not acknowledged the claim.
        steady_time start_by{};
        std::vector<waiter> waiting;
        std::list<std::string>::iterator order;
    };
    claim& put(const std::string& key, claim_state state, steady_time changed);
    void erase(const std::string& key);
    static void end_waiting(claim& c, claim_verdict verdict, const std::string& answer);
    void claimed(const std::string& key, std::uint64_t generation, bool copied);

    run_once_options options_;
    const clock& clock_;
    replicate copy_;
    std::unordered_map<std::string, claim> claims_;
    std::list<std::string> order_; ///< Least recently changed first.
    std::optional<steady_time> lost_at_;
    std::size_t answer_bytes_ = 0;
    std::uint64_t generation_ = 0;
    std::uint64_t tenure_ = 0;
    std::vector<std::string> waited_for_; ///< Keys that may have waiting or starting calls.
};

} // namespace wagtailhatch
