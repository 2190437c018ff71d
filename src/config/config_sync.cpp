#include "include/config/config_sync.h"

#include "src/config/config_message.h"
#include "src/config/head_reader.h"
#include "src/config/peer_view.h"
#include "src/config/platform_contact.h"
#include "src/config/reader_election.h"

#include <algorithm>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t startup_peers = 3;
constexpr std::size_t near_peers = 2; ///< Of the own data centre, each comparison.
constexpr std::size_t far_peers = 1;  ///< Of other data centres, each comparison.
constexpr std::size_t push_peers = 3; ///< Told at once of a new version.
constexpr auto startup_wait = 3s;
constexpr auto push_interval = 200ms; ///< Bursts of changes are pushed together.
constexpr auto publish_interval = 1s; ///< Bursts of changes are parsed together.

} // namespace

class config_sync::impl : public std::enable_shared_from_this<config_sync::impl> {
public:
    impl(config_sync_options options, const clock& time, random_source& random, config_send send,
         table_service& table, object_store& objects, publish_callback publish)
        : options_{std::move(options)}
        , time_{time}
        , random_{random}
        , send_{std::move(send)}
        , publish_{std::move(publish)}
        , peers_{options_.self, options_.seeds, random}
        , election_{options_.self.data_centre, options_.self.id, time, options_.reader_memory}
        , contact_{time}
        , reader_{std::make_shared<head_reader>(time, random, table, objects, options_.head_poll,
                                                options_.max_backoff)}
    {
    }

    void start()
    {
        const auto now = time_.now();
        starting_ = true;
        started_ = now;
        next_compare_ = now + part_of(options_.compare);
        next_read_ = now + options_.head_poll + part_of(options_.head_poll);
        for (const auto& peer : peers_.choose(startup_peers, 0)) {
            ++asked_;
            compare_with(peer, true);
        }
        read_head();
    }

    void tick()
    {
        const auto now = time_.now();
        if (starting_ && now - started_ >= startup_wait) {
            end_startup();
        }
        if (now >= next_compare_) {
            next_compare_ = now + options_.compare;
            compare_with_some(near_peers, far_peers);
        }
        if (push_wanted_ && now >= next_push_) {
            push();
        }
        if (now >= next_read_) {
            next_read_ = now + options_.head_poll;
            if (election_.primary() || (!election_.outranked() && !reader_->backing_off())) {
                read_head();
            }
        }
        if (publish_wanted_ && now >= next_publish_) {
            publish();
        }
        check_stale();
    }

    std::optional<std::string> on_request(std::string_view payload)
    {
        bytes_received_ += payload.size();
        const auto message = decode_config_message(payload);
        if (!message) {
            return std::nullopt;
        }
        learn(*message);
        if (message->version > state_.version() && !pulling()) {
            pull_until_ = time_.now() + options_.request_timeout;
            compare_with(message->self.address);
        }
        auto answer = digest(message->self.data_centre);
        if (message->version < state_.version()) {
            answer.delta = state_.delta_since(message->version);
        }
        auto bytes = encode(answer);
        bytes_sent_ += bytes.size();
        return bytes;
    }

    void set_peers(std::vector<config_peer> peers) { peers_.set_members(std::move(peers)); }
    void on_stale(stale_callback callback) { contact_.on_change(std::move(callback)); }
    const config_state& state() const { return state_; }

    config_sync_status status() const
    {
        config_sync_status s;
        s.version = state_.version();
        s.published = published_ ? published_->version : 0;
        s.reader = election_.primary();
        s.stale = contact_.stale();
        s.platform_age = contact_.age();
        s.problem = problem_;
        s.platform_reads = reader_->reads();
        s.bytes_sent = bytes_sent_;
        s.bytes_received = bytes_received_;
        return s;
    }

private:
    /// Random, so that nodes that start together do not act together for ever.
    duration part_of(duration whole)
    {
        return duration{static_cast<duration::rep>(random_.below(static_cast<std::uint64_t>(whole.count())))};
    }

    bool pulling() const { return time_.now() < pull_until_; }

    config_message digest(const std::string& for_data_centre)
    {
        config_message message;
        message.self = options_.self;
        message.version = state_.version();
        message.platform_age = contact_.age();
        if (for_data_centre == options_.self.data_centre) {
            message.readers = election_.report();
        }
        message.peers = peers_.sample(for_data_centre);
        return message;
    }

    void learn(const config_message& message)
    {
        peers_.learn(message.self, true);
        if (message.self.data_centre == options_.self.data_centre) {
            election_.merge(message.readers);
        }
        for (const auto& peer : message.peers) {
            peers_.learn(peer, false);
        }
    }

    void compare_with_some(std::size_t near, std::size_t far)
    {
        for (const auto& peer : peers_.choose(near, far)) {
            compare_with(peer);
        }
    }

    void compare_with(const peer_address& peer, bool for_start = false)
    {
        const auto sent = time_.now();
        const auto own = digest(peers_.data_centre_of(peer));
        auto bytes = encode(own);
        bytes_sent_ += bytes.size();
        send_(peer, std::move(bytes), options_.request_timeout,
              [weak = weak_from_this(), peer, sent, for_start](const peer_reply& reply) {
                  if (const auto self = weak.lock()) {
                      self->on_answer(peer, sent, reply);
                      self->asked_ -= for_start ? 1 : 0;
                      if (for_start && self->asked_ == 0 && self->starting_) {
                          self->startup_answers_complete();
                      }
                  }
              });
    }

    void on_answer(const peer_address& peer, steady_time sent, const peer_reply& reply)
    {
        if (!reply.ok) {
            peers_.failed(peer);
        }
        else if (const auto message = decode_config_message(reply.payload)) {
            bytes_received_ += reply.payload.size();
            pull_until_ = {};
            learn(*message);
            if (message->delta && state_.apply(*message->delta) == apply_result::applied) {
                changed();
            }
            // What the peer heard of the platform counts only for a version that this node has, too. The age
            // is counted from the sending of the request, which is earlier than the peer's statement.
            if (message->platform_age && message->version <= state_.version()) {
                confirm(sent - *message->platform_age);
            }
        }
    }

    void startup_answers_complete()
    {
        if (waiting_head_) {
            take_waiting_head();
        }
        else if (table_answered_) {
            end_startup();
        }
    }

    void take_waiting_head()
    {
        if (const auto waiting = std::exchange(waiting_head_, std::nullopt)) {
            on_head(waiting->first, waiting->second);
        }
    }

    void end_startup()
    {
        starting_ = false;
        take_waiting_head();
        if (state_.version() > 0) {
            publish();
        }
    }

    void changed()
    {
        push_wanted_ = true;
        publish_wanted_ = true;
        if (time_.now() >= next_push_) {
            push();
        }
        if (time_.now() >= next_publish_) {
            publish();
        }
    }

    void push()
    {
        push_wanted_ = false;
        next_push_ = time_.now() + push_interval;
        compare_with_some(push_peers, far_peers);
    }

    void publish()
    {
        if (starting_) {
            return;
        }
        publish_wanted_ = false;
        next_publish_ = time_.now() + publish_interval;
        auto loaded = load_configuration(state_.documents(), options_.self.data_centre, state_.version());
        if (!loaded) {
            problem_ = loaded.failure().message();
            return;
        }
        problem_.clear();
        published_ = std::move(*loaded);
        publish_(published_);
        check_stale();
    }

    void confirm(steady_time when)
    {
        contact_.confirm(when);
        check_stale();
    }

    void check_stale() { contact_.check(published_ ? published_->max_staleness : 0s); }

    void read_head()
    {
        reader_->read([this](const result<config_head>& head, steady_time at) { on_head_read(head, at); });
    }

    void on_head_read(const result<config_head>& head, steady_time at)
    {
        table_answered_ = true;
        if (!head) {
            election_.failed();
        }
        if (head && starting_ && asked_ > 0 && head->version > state_.version()) {
            // The peers' answers are on their way and save the reads of the documents.
            waiting_head_ = {*head, at};
        }
        else if (head) {
            on_head(*head, at);
        }
        else if (starting_ && asked_ == 0 && state_.version() > 0) {
            end_startup();
        }
    }

    /// A head with a lower version is an outdated read and says nothing.
    void on_head(const config_head& head, steady_time at)
    {
        if (head.version < state_.version()) {
            return;
        }
        if (head.version > state_.version()) {
            reader_->fetch(state_, head, [this, head, at](bool applied) {
                if (applied) {
                    changed();
                    on_head(head, at);
                }
            });
            return;
        }
        election_.reached(at);
        confirm(at);
        if (starting_) {
            end_startup();
        }
    }

    config_sync_options options_;
    const clock& time_;
    random_source& random_;
    config_send send_;
    publish_callback publish_;
    config_state state_;
    peer_view peers_;
    reader_election election_;
    platform_contact contact_;
    std::shared_ptr<head_reader> reader_; ///< Its completions end with it, and so with this object.
    std::shared_ptr<const configuration> published_;
    std::string problem_;

    bool starting_ = false;
    bool table_answered_ = false;
    std::size_t asked_ = 0; ///< Answers that the start still waits for.
    std::optional<std::pair<config_head, steady_time>> waiting_head_;
    steady_time started_{};

    steady_time next_compare_{};
    steady_time next_read_{};
    steady_time next_push_{};
    steady_time next_publish_{};
    steady_time pull_until_{};
    bool push_wanted_ = false;
    bool publish_wanted_ = false;

    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
};

config_sync::config_sync(config_sync_options options, const clock& time, random_source& random,
                         config_send send, table_service& table, object_store& objects,
                         publish_callback publish)
    : impl_{std::make_shared<impl>(std::move(options), time, random, std::move(send), table, objects,
                                   std::move(publish))}
{
}

config_sync::~config_sync() = default;

void config_sync::on_stale(stale_callback callback)
{
    impl_->on_stale(std::move(callback));
}

void config_sync::start()
{
    impl_->start();
}

void config_sync::tick()
{
    impl_->tick();
}

void config_sync::set_peers(std::vector<config_peer> peers)
{
    impl_->set_peers(std::move(peers));
}

std::optional<std::string> config_sync::on_request(std::string_view payload)
{
    return impl_->on_request(payload);
}

std::uint64_t config_sync::version() const
{
    return impl_->state().version();
}

const config_state& config_sync::state() const
{
    return impl_->state();
}

config_sync_status config_sync::status() const
{
    return impl_->status();
}

} // namespace wagtailhatch
