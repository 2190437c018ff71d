#pragma once

#include "include/core/clock.h"
#include "include/core/result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace wagtailhatch {

/// What a target says when it announces itself at its node.
struct target_announcement {
    std::string service;
    std::string address; ///< "127.0.0.1:8080"; must be a loopback address.
    bool draining = false;
    std::uint32_t slots = 0; ///< Requests that it runs at once; 0: not said. Only a hint.
};

/// Parses the JSON body of `POST /wh/v1/announce`. Errors: errc::malformed with the field's name.
result<target_announcement> parse_announcement(std::string_view json);

enum class link_state : std::uint8_t { absent, ready, draining };

/// The node's view of the target beside it, from its announcements and from failed calls. Pure; one thread.
class target_link {
public:
    explicit target_link(std::string service)
        : service_{std::move(service)}
    {
    }

    /// Result of an announcement for the rest of the node.
    struct change {
        bool restarted = false; ///< It has come under another address while the old one was in use.
        bool became_ready = false;
        bool became_draining = false;
    };

    /// Error if it names another service than the settings.
    result<change> announce(const target_announcement& a, steady_time now);

    /// A connection was refused: the target is gone until it announces itself again.
    void on_refused();

    /// Whether announcements stopped for so long that the target counts as absent. A target announces itself
    /// each second; a busy one may miss several.
    bool expire(steady_time now);

    link_state state() const { return state_; }
    const std::string& address() const { return address_; }

private:
    std::string service_;
    std::string address_;
    link_state state_ = link_state::absent;
    steady_time last_{};
};

} // namespace wagtailhatch
