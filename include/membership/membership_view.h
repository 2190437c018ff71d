#pragma once

#include "include/membership/member.h"

#include <map>
#include <string>
#include <vector>

namespace wagtailhatch {

/// Who serves what, as one node knows it. Immutable once published.
struct membership_view {
    /// Members in every state, ordered by id. Holds the node's own service and the followed ones.
    std::map<std::string, std::vector<member>> services;

    /// The members of a service; empty if nothing is known of it.
    const std::vector<member>& members(const std::string& service) const
    {
        static const std::vector<member> none;
        const auto found = services.find(service);
        return found == services.end() ? none : found->second;
    }
};

} // namespace wagtailhatch
