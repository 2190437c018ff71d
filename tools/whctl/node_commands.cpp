#include "include/http/http_client.h"
#include "tools/whctl/commands.h"

#include <asio/io_context.hpp>
#include <fmt/format.h>

#include <chrono>
#include <iostream>

namespace wagtailhatch {
namespace {

constexpr std::chrono::seconds status_timeout{2};

http_result get_status(const std::string& address)
{
    asio::io_context io{1};
    http_result answer;
    auto client = make_http_client(io, {});
    if (!client) {
        answer.reason = client.failure();
        return answer;
    }
    bool done = false;
    http_call call;
    call.address = address;
    call.request.method = "GET";
    call.request.target = "/status";
    call.timeout = status_timeout;
    (*client)->start(std::move(call), [&](http_result r) {
        answer = std::move(r);
        done = true;
    });
    while (!done) {
        io.run_one();
    }
    return answer;
}

} // namespace

int run_status(const command_line& command)
{
    if (command.nodes.empty()) {
        std::cerr << "whctl: status requires --nodes\n";
        return exit_usage;
    }
    int code = exit_success;
    for (const auto& node : command.nodes) {
        const auto answer = get_status(node);
        if (answer.ok && answer.response.status == 200) {
            std::cout << answer.response.body << '\n';
        }
        else {
            std::cerr << fmt::format("whctl: {}: {}\n", node,
                                     answer.ok ? fmt::format("HTTP status {}", answer.response.status)
                                               : answer.reason.message());
            code = exit_unavailable;
        }
    }
    return code;
}

} // namespace wagtailhatch
