#pragma once

#include "src/http1/target_connection.h"

#include <optional>
#include <string>
#include <string_view>

namespace wagtailhatch::test {

/// Records the outcome of one exchange. Accepts only responses with the `Id` of its request.
class response_recorder final : public target_events {
public:
    bool accepts(const message_head& head, bool) override
    {
        const auto* id = find_header(head.headers, "Id");
        return id != nullptr && *id == "1";
    }
    void on_response_head(message_head head) override { status = head.status; }
    void on_response_data(std::string_view bytes) override { body += bytes; }
    void on_response_end() override { ended = true; }
    void on_target_failure(target_failure f) override { failure = f; }

    bool over() const { return ended || failure; }

    int status = 0;
    std::string body;
    bool ended = false;
    std::optional<target_failure> failure;
};

} // namespace wagtailhatch::test
