#pragma once

#include "include/config/configuration.h"
#include "include/core/outcome.h"
#include "include/ownership/run_once_home.h"
#include "include/ownership/slot_ownership.h"
#include "include/ownership/slot_pair_channel.h"
#include "include/quota/share_gate.h"
#include "include/quota/token_mint.h"
#include "include/quota/token_wallet.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

/// An order that must run at most once, as it travels from its entry node to its home.
struct run_once_order {
    std::string workspace;
    std::string key;            ///< Idempotency-Key of the caller.
    bool first_attempt = false; ///< The caller stated `wh-first-attempt: 1`.
    std::string request;        ///< Opaque here: the node's own encoding of route, context and HTTP request.
};

/// How an order ended.
struct run_once_result {
    outcome what = outcome::unknown;
    refusal_reason reason = refusal_reason::none; ///< replayed, in_progress, outcome_unknown, overload, ...
    bool already_run = false; ///< Answered before, but the answer was not kept (409, reason already-run).
    std::string answer;       ///< If answered and not already_run: the runner's answer bytes.
};

struct slot_service_options {
    slot_ownership_options ownership;
    run_once_options run_once;
    pair_channel_options pair;
    token_wallet_options wallet;
    std::chrono::milliseconds ask_timeout{250};   ///< For one answer of a mint.
    std::chrono::milliseconds map_interval{5000}; ///< Between comparisons of slot maps with a random node.
};

/// Rates and run-once orders of one node: its slots, mints, claims, and its wallet as an entry node.
///
/// Flow of a run-once order that enters at node A, has its home at node H and runs at target T:
///   1. A calls run_once(). A finds the home data centre and slot, and sends the whole order to H on channel
///      `claim` with the slot's epoch. H refuses ("not here", with the row it knows) if it is not the owner
///      of that epoch; A then looks again, a bounded number of times. That never ran.
///   2. H claims the key, has its partner record the claim, and only then calls its runner, once.
///   3. The runner at H chooses an instance of the route's service and calls node T as for any other request
///      (channel `call`, deadline and cancellation as usual, never_repeat at T). It reports answered with the
///      bytes to keep, not_run only if provably no byte reached a target, or else unknown.
///   4. H records the outcome, answers A, and copies the outcome to its partner.
///   5. If A loses H after the order may have been sent, A reports unknown. A does not send it again.
/// A caller that hangs up does not cancel the run: a repeat of the key finds the answer.
///
/// One thread: the one that owns the peer transport. Table completions must be posted to it.
class slot_service final : private slot_events, private replica_state, private mint_client {
public:
    using reply = std::function<void(std::string)>;
    /// Runs an order at its home. Must complete exactly once, by the deadline.
    using runner = std::function<void(const run_once_order&, steady_time deadline,
                                      std::function<void(run_once_result)>)>;

    slot_service(slot_service_options options, node_ref self, table_service& table, message_sender& sender,
                 const clock& time, random_source& random);
    ~slot_service() override;
    slot_service(const slot_service&) = delete;
    slot_service& operator=(const slot_service&) = delete;

    void set_runner(runner r) { runner_ = std::move(r); }
    void set_configuration(std::shared_ptr<const configuration> c);
    /// Live nodes of this data centre (see slot_ownership) and, for others, nodes to ask about their slots.
    void set_members(const std::string& data_centre, std::vector<node_ref> members);
    void report_ended(const std::string& id, std::uint64_t incarnation);

    /// Call every 20 to 100 ms.
    void tick();

    /// Answers a message on channels quota, claim and slot. respond may run later, at most once.
    void handle(channel c, const std::string& payload, const reply& respond);

    /// Takes one token of the workspace's fleet-wide rate.
    void take_token(const std::string& workspace, token_wallet::taken done)
    {
        wallet_.take(workspace, std::move(done));
    }

    /// Runs an order at most once. done runs exactly once, shortly after the deadline at the latest.
    void run_once(run_once_order order, steady_time deadline, std::function<void(run_once_result)> done);

    /// Planned stop: gives back tokens and hands over all slots; done runs at the latest after limit.
    void hand_over_all(duration limit, std::function<void()> done);

    const slot_ownership& ownership() const { return ownership_; }
    token_wallet& wallet() { return wallet_; }
    /// Home data centre of a workspace; empty if none is known.
    std::string home_of(const std::string& workspace) const;

private:
    /// What the pair keeps for one slot.
    struct slot_state {
        std::map<std::string, token_mint> mints; ///< As partner: copies.
        std::unique_ptr<run_once_home> claims;
        share_gate::record gate_record; ///< version 0: none.
        std::unique_ptr<share_gate> gate;
        bool gate_copied = false;                 ///< The partner holds the present gate record.
        std::map<std::string, steady_time> moved; ///< Workspaces whose home came here, and when.
        std::optional<steady_time> lost_at;       ///< History of the mints was lost then.
        steady_time next_confirm{};
        duration confirm_retry{};
    };
    /// Rows of another data centre, as its nodes reported them.
    struct remote_map {
        std::vector<node_ref> members;
        std::map<std::uint32_t, slot_row> rows;
        std::vector<std::function<void()>> waiting;
        bool fetching = false;
    };
    using found_row = std::function<void(const slot_row*)>;
    struct pending_order;

    void on_become_owner(std::uint32_t slot, std::uint64_t epoch, bool had_history) override;
    void on_become_partner(std::uint32_t slot, std::uint64_t epoch) override;
    void on_lost(std::uint32_t slot, std::uint64_t epoch) override;
    void on_suspended(std::uint32_t slot, std::uint64_t epoch) override;
    void on_resumed(std::uint32_t slot, std::uint64_t epoch) override;
    void on_row_written(std::uint32_t slot, const slot_row& row) override;

    std::vector<std::string> snapshot(std::uint32_t slot) override;
    void reset(std::uint32_t slot) override;
    bool apply(std::uint32_t slot, const std::string& record) override;

    void ask(const std::string& workspace, const std::string& data_centre, std::uint32_t need,
             std::uint32_t wish, std::function<void(const mint_answer&)> done) override;
    void settle(const std::string& workspace, const std::string& data_centre, std::uint64_t epoch,
                std::uint64_t grant, std::uint32_t spent, std::uint32_t returned) override;

    slot_state& state(std::uint32_t slot);
    const std::string& own_data_centre() const { return options_.ownership.data_centre; }
    bool acting(std::uint32_t slot, std::uint64_t epoch) const { return ownership_.may_act(slot, epoch); }
    void send(const node_ref& to, channel c, std::string payload, duration timeout,
              std::function<void(peer_reply)> done);

    void find_row(const std::string& data_centre, std::uint32_t slot, found_row done);
    void fetch_map(const std::string& data_centre, std::function<void()> done);
    void learn(const std::string& data_centre, std::uint32_t slot, const slot_row& row);
    void forget(const std::string& data_centre, std::uint32_t slot);
    void learn_from(const std::string& data_centre, std::uint32_t slot, const std::string& row_text);
    std::string not_here(std::uint32_t slot) const;
    std::string handle_map(std::string_view body) const;
    void compare_maps();

    void ask_mint(const std::string& workspace, const std::string& data_centre, std::uint32_t need,
                  std::uint32_t wish, int tries, std::function<void(const mint_answer&)> done);
    void handle_take(std::string_view body, const reply& respond);
    void handle_settle(std::string_view body);
    void lower_shares(std::uint32_t slot);
    token_mint* mint_for(std::uint32_t slot, const std::string& workspace);
    void grant_copied(std::uint32_t slot, std::uint64_t epoch, const std::string& workspace,
                      const token_mint::grant& g, bool copied, const reply& respond);

    void adopt_configuration(std::uint32_t slot);
    void note_moved(std::uint32_t slot);
    void ask_confirmations(std::uint32_t slot);
    void ask_confirmation(std::uint32_t slot, const std::string& data_centre);
    void check_never_owned(std::uint32_t slot, const std::string& data_centre);
    void handle_confirm(std::string_view body, const reply& respond);

    void attempt_order(const std::shared_ptr<pending_order>& order);
    void order_answered(const std::shared_ptr<pending_order>& order, const peer_reply& r);
    void handle_order(std::string_view body, const reply& respond);
    void run_claimed(std::uint32_t slot, const std::string& key, const run_once_order& order,
                     steady_time deadline, const reply& respond);

    slot_service_options options_;
    message_sender& sender_;
    const clock& clock_;
    random_source& random_;
    table_service& table_;
    runner runner_;
    std::shared_ptr<const configuration> config_;
    std::map<std::string, steady_time> moved_; ///< Seen by this node, whatever its part.
    slot_ownership ownership_;
    slot_pair_channel pairs_;
    token_wallet wallet_;
    std::map<std::uint32_t, std::unique_ptr<slot_state>> states_;
    std::map<std::string, remote_map> remote_;
    steady_time next_compare_{};
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace wagtailhatch
