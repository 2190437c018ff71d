#include "include/quota/share_gate.h"

#include "include/ownership/slot_types.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstring>

namespace wagtailhatch {

namespace {

struct part {
    std::string name;
    double weight = 0;
    std::uint64_t burst = 0;
};

std::vector<part> divide(const configuration& c, double burst)
{
    std::vector<part> parts;
    double total = 0;
    for (const auto& [name, dc] : c.data_centres) {
        if (dc.weight > 0) {
            parts.push_back({name, dc.weight, 0});
            total += dc.weight;
        }
    }
    const auto whole = static_cast<std::uint64_t>(std::max(0.0, std::floor(burst)));
    std::uint64_t given = 0;
    for (auto& p : parts) {
        p.burst = static_cast<std::uint64_t>(std::floor(static_cast<double>(whole) * p.weight / total));
        given += p.burst;
    }
    for (; given < whole && !parts.empty(); ++given) {
        const auto best = std::max_element(parts.begin(), parts.end(), [](const part& a, const part& b) {
            return a.weight / static_cast<double>(a.burst + 1) < b.weight / static_cast<double>(b.burst + 1);
        });
        ++best->burst;
    }
    return parts;
}

void mix(std::uint64_t& hash, std::string_view text, double number)
{
    std::uint64_t bits = 0;
    std::memcpy(&bits, &number, sizeof bits);
    hash = XXH64(text.data(), text.size(), hash ^ bits);
}

} // namespace

workspace_share share_of(const configuration& c, const workspace_config& w, const std::string& data_centre)
{
    workspace_share share;
    double minting = 0;
    double own = 0;
    for (const auto& p : divide(c, w.burst)) {
        if (p.burst == 0) {
            continue;
        }
        minting += p.weight;
        if (p.name == data_centre) {
            own = p.weight;
            share.burst = p.burst;
        }
    }
    share.rate = minting > 0 ? w.rate * own / minting : 0;
    return share;
}

std::string home_of(const configuration& c, const workspace_config& w)
{
    if (!w.home.empty()) {
        return w.home;
    }
    std::string best;
    std::uint64_t best_weight = 0;
    for (const auto& [name, dc] : c.data_centres) {
        const auto weight = rendezvous_weight("home/" + w.name, name);
        if (best.empty() || weight > best_weight) {
            best = name;
            best_weight = weight;
        }
    }
    return best;
}

std::uint64_t division_stamp(const configuration& c)
{
    std::uint64_t hash = 1;
    double smallest = 0;
    double total = 0;
    for (const auto& [name, dc] : c.data_centres) {
        mix(hash, name, dc.weight);
        total += std::max(0.0, dc.weight);
        smallest = dc.weight > 0 && (smallest <= 0 || dc.weight < smallest) ? dc.weight : smallest;
    }
    for (const auto& [name, w] : c.workspaces) {
        mix(hash, name, 0);
        mix(hash, home_of(c, w), 0);
        // With a small burst some data centres have no whole token, and the rate is divided among the others.
        if (std::floor(w.burst) * smallest < total) {
            mix(hash, name, std::floor(w.burst));
        }
    }
    return hash;
}

share_gate::share_gate(std::string data_centre, const record* inherited)
    : data_centre_{std::move(data_centre)}
    , inherited_{inherited != nullptr ? *inherited : record{}}
    , has_inherited_{inherited != nullptr}
{
}

bool share_gate::adopt(std::shared_ptr<const configuration> c)
{
    if (!c || c->version < inherited_.version || (current_ && c->version <= current_->version)) {
        return false;
    }
    const auto stamp = division_stamp(*c);
    if (!current_) {
        const bool same = has_inherited_ && inherited_.raised && inherited_.stamp == stamp;
        fresh_ = !same;
        adopted_ = same ? inherited_.adopted : c->version;
    }
    else if (stamp != stamp_) {
        pending_.push_back(current_);
        adopted_ = c->version;
        confirmed_.clear();
    }
    current_ = std::move(c);
    stamp_ = stamp;
    settle();
    return true;
}

void share_gate::confirmed(const std::string& data_centre, std::uint64_t version, std::uint64_t stamp)
{
    if (current_ && stamp == stamp_ && version >= adopted_) {
        confirmed_.insert(data_centre);
        settle();
    }
}

std::vector<std::string> share_gate::missing() const
{
    std::vector<std::string> names;
    if (!current_ || raised()) {
        return names;
    }
    for (const auto& [name, dc] : current_->data_centres) {
        if (name != data_centre_ && !dc.lost && !confirmed_.contains(name)) {
            names.push_back(name);
        }
    }
    // A data centre that left the configuration may still mint by the old one.
    for (const auto& old : pending_) {
        for (const auto& [name, dc] : old->data_centres) {
            if (name != data_centre_ && !dc.lost && !confirmed_.contains(name) &&
                !current_->data_centres.contains(name)) {
                names.push_back(name);
            }
        }
    }
    return names;
}

void share_gate::settle()
{
    if (!raised() && missing().empty()) {
        fresh_ = false;
        pending_.clear();
    }
}

workspace_share share_gate::share(const std::string& workspace) const
{
    if (!open()) {
        return {};
    }
    const auto found = current_->workspaces.find(workspace);
    if (found == current_->workspaces.end()) {
        return {};
    }
    auto share = share_of(*current_, found->second, data_centre_);
    for (const auto& old : pending_) {
        // The rate and burst in force now, by the division in force then.
        workspace_config w = found->second;
        const auto then = old->workspaces.find(workspace);
        const auto by_burst = share_of(*old, w, data_centre_);
        w.burst = then == old->workspaces.end() ? w.burst : then->second.burst;
        const auto by_division = share_of(*old, w, data_centre_);
        share.rate = std::min(share.rate, by_division.rate);
        share.burst = std::min(share.burst, by_burst.burst);
    }
    return share;
}

bool share_gate::home_here(const std::string& workspace) const
{
    if (!open()) {
        return false;
    }
    const auto here = [&](const configuration& c) {
        const auto found = c.workspaces.find(workspace);
        return found == c.workspaces.end() || home_of(c, found->second) == data_centre_;
    };
    return current_->workspaces.contains(workspace) && here(*current_) &&
           std::all_of(pending_.begin(), pending_.end(), [&](const auto& old) { return here(*old); });
}

} // namespace wagtailhatch
