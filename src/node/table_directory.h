#pragma once

#include "include/config/node_settings.h"
#include "include/core/clock.h"
#include "include/membership/member.h"
#include "include/platform/table_service.h"
#include "src/node/traffic_plane.h"

#include <functional>
#include <memory>
#include <string>

namespace wagtailhatch {

/// Stand-in for group membership: one table row for each instance, read by all. Good for a handful of
/// instances only; to be replaced by membership_service.
class table_directory {
public:
    using changed = std::function<void(std::shared_ptr<const member_lists>)>;

    table_directory(table_service& table, member self, changed on_change);

    /// Raises the incarnation in this instance's row; done gets the incarnation.
    void join(std::function<void(std::uint64_t)> done);
    void set_state(member_state state, std::function<void()> done);
    void refresh();

private:
    void write(std::function<void()> done);
    std::string key() const { return "instance/" + self_.service + "/" + self_.id; }

    table_service& table_;
    member self_;
    std::string etag_;
    changed on_change_;
};

} // namespace wagtailhatch
