#include "include/membership/membership_service.h"

#include "include/membership/group_follower.h"
#include "src/membership/instance_registration.h"
#include "src/membership/instance_row_source.h"
#include "src/membership/relay_cache.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace wagtailhatch {
namespace {

/// How long a start waits for the table before it joins with an incarnation from the wall clock.
constexpr std::chrono::seconds table_wait{2};
/// Nodes that start together may form several groups; each finds the others by the addresses in the table and
/// the seeds, fast at first. Addresses of instances that are gone are tried at the slower pace only.
constexpr std::chrono::seconds young_time{60};
constexpr duration young_contact_interval{std::chrono::seconds{1}};
constexpr duration contact_interval{std::chrono::seconds{15}};
/// Each group tells a seed of itself about this often, however many members it has.
constexpr std::chrono::seconds announcement_interval{10};

/// Larger than the numbers of earlier starts; the random suffix keeps two starts in one millisecond apart.
std::uint64_t clock_incarnation(const clock& time, random_source& random)
{
    const auto since = time.wall_now().time_since_epoch();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
    constexpr std::uint64_t suffixes = 1024;
    return static_cast<std::uint64_t>(milliseconds) * suffixes + 1 + random.below(suffixes - 1);
}

} // namespace

class membership_service::datagram_sender final : public group_sender {
public:
    explicit datagram_sender(datagram_transport& transport)
        : transport_{transport}
    {
    }
    void send(const peer_address& to, const group_message& m) override
    {
        transport_.send(to, encode_group_message(m));
    }

private:
    datagram_transport& transport_;
};

membership_service::membership_service(membership_options options, const clock& time, random_source& random,
                                       datagram_transport& transport, table_service& table)
    : options_{std::move(options)}
    , time_{time}
    , random_{random}
    , transport_{transport}
    , sender_{std::make_unique<datagram_sender>(transport)}
    , registration_{std::make_unique<instance_registration>(table, time, random,
                                                            instance_row_key(options_.service, options_.id))}
    , rows_{std::make_unique<instance_row_source>(table, time, random)}
    , relay_{std::make_unique<relay_cache>(time)}
    , initial_{options_.id, options_.service,     options_.data_centre, options_.address, 0,
               0,           member_state::joining}
    , process_{random.engine()()}
    , view_{std::make_shared<membership_view>()}
    , started_{time.now()}
    , next_contact_{time.now()}
    , next_announcement_{time.now()}
{
    transport_.set_handler(
        [this](const peer_address& from, const std::string& payload) { receive(from, payload); });
}

membership_service::~membership_service()
{
    transport_.set_handler(nullptr);
}

void membership_service::start()
{
    running_ = true;
    started_ = time_.now();
    rows_->need(options_.service);
    const instance_row row{options_.address, options_.data_centre, clock_incarnation(time_, random_),
                           member_state::joining, process_};
    registration_->start(row,
                         [this, incarnation = row.incarnation](const std::optional<instance_row>& written) {
                             join(written ? written->incarnation : incarnation);
                         });
    tick();
}

void membership_service::join(std::uint64_t incarnation)
{
    if (group_) {
        group_->raise_incarnation(incarnation);
        return;
    }
    member self = initial_;
    self.incarnation = incarnation;
    group_ = std::make_unique<swim_group>(self, options_.swim, time_, random_, *sender_);
}

const member& membership_service::self() const
{
    return group_ ? group_->self() : initial_;
}

void membership_service::tick()
{
    if (!running_) {
        return;
    }
    registration_->tick();
    rows_->tick();
    if (!group_ && time_.now() - started_ >= table_wait && initial_.state != member_state::left) {
        join(first_incarnation_);
    }
    if (group_) {
        contact_others();
        announce_to_seeds();
        group_->tick();
    }
    for (const auto& [service, follower] : followed_) {
        follower->tick(contacts(service));
    }
    publish();
}

void membership_service::contact_others()
{
    if (time_.now() < next_contact_) {
        return;
    }
    auto candidates = contacts(options_.service);
    auto unknown = candidates;
    std::erase_if(unknown, [this](const auto& address) { return group_->table().knows(address); });
    const bool young = time_.now() - started_ < young_time;
    next_contact_ = time_.now() + (!unknown.empty() && young ? young_contact_interval : contact_interval);
    if (!unknown.empty()) {
        candidates = std::move(unknown);
    }
    if (!candidates.empty()) {
        group_->contact(candidates[random_.below(candidates.size())]);
    }
}

void membership_service::announce_to_seeds()
{
    if (time_.now() < next_announcement_) {
        return;
    }
    const auto others = std::max<std::size_t>(1, group_->table().live_count());
    const auto interval = announcement_interval * others;
    next_announcement_ =
        time_.now() + std::chrono::duration_cast<duration>(interval * (0.5 + random_.unit()));
    if (!options_.seeds.empty()) {
        group_->contact(options_.seeds[random_.below(options_.seeds.size())]);
    }
}

std::vector<peer_address> membership_service::contacts(const std::string& service) const
{
    std::vector<peer_address> found = rows_->addresses(service);
    found.insert(found.end(), options_.seeds.begin(), options_.seeds.end());
    if (found.empty()) {
        // Any node relays what it knows of any group.
        for (const auto& [name, members] : view_->services) {
            for (const auto& m : members) {
                if (!is_final(m.state)) {
                    found.push_back(m.address);
                }
            }
        }
    }
    std::erase(found, options_.address);
    return found;
}

void membership_service::follow(const std::string& service)
{
    if (service == options_.service || followed_.contains(service)) {
        return;
    }
    rows_->need(service);
    followed_.emplace(service, std::make_unique<group_follower>(service, time_, random_, *sender_));
}

void membership_service::unfollow(const std::string& service)
{
    if (followed_.erase(service) > 0) {
        rows_->forget(service);
        views_changed_ = true;
    }
}

void membership_service::set_state(member_state s)
{
    initial_.state = s;
    if (group_) {
        group_->set_state(s);
        publish();
    }
}

void membership_service::leave(std::function<void(bool)> done)
{
    set_state(member_state::left);
    const instance_row row{options_.address, options_.data_centre, self().incarnation, member_state::left,
                           process_};
    // Reports of later attempts are not passed on.
    auto once = std::make_shared<std::function<void(bool)>>(std::move(done));
    registration_->leave(row, [once](const std::optional<instance_row>& written) {
        if (const auto callback = std::exchange(*once, nullptr)) {
            callback(written.has_value());
        }
    });
}

void membership_service::report_unreachable(const peer_address& address)
{
    if (group_) {
        group_->report_unreachable(address);
    }
    for (const auto& [service, follower] : followed_) {
        follower->report_unreachable(address);
    }
    publish();
}

void membership_service::receive(const peer_address& from, const std::string& payload)
{
    const auto m = decode_group_message(payload);
    if (!m || !running_) {
        return;
    }
    const auto followed = followed_.find(m->service);
    if (m->service == options_.service && group_) {
        group_->handle(from, *m);
    }
    else if (followed != followed_.end()) {
        followed->second->handle(from, *m);
    }
    else if (m->type == group_message::kind::digest) {
        sender_->send(from, relay_->answer(from, *m));
    }
    publish();
}

void membership_service::publish()
{
    bool changed = std::exchange(views_changed_, false);
    changed = (group_ && group_->take_changed()) || changed;
    for (const auto& [service, follower] : followed_) {
        changed = follower->take_changed() || changed;
    }
    if (!changed) {
        return;
    }
    auto view = std::make_shared<membership_view>();
    if (group_) {
        view->services[options_.service] = group_->table().all();
    }
    for (const auto& [service, follower] : followed_) {
        view->services[service] = follower->table().all();
    }
    view_ = std::move(view);
    if (changed_) {
        changed_(view_);
    }
}

} // namespace wagtailhatch
