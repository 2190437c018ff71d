#include "tools/whctl/commands.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <string_view>

namespace wagtailhatch {
namespace {

using nlohmann::json;

struct log_line {
    std::string time;
    std::string file;
    json fields;
};

/// Returns whether the line belongs to the request or to one of its downstream calls (`<id>.<n>`).
bool belongs_to_request(const json& fields, const std::string& id)
{
    const auto found = fields.find("id");
    if (found == fields.end() || !found->is_string()) {
        return false;
    }
    const auto& text = found->get_ref<const std::string&>();
    return text == id || text.rfind(id + ".", 0) == 0;
}

std::string describe(const log_line& line)
{
    auto out = fmt::format("{} {} {}", line.time, line.file, line.fields.value("event", ""));
    for (const auto& [name, value] : line.fields.items()) {
        if (name != "ts" && name != "level" && name != "event") {
            out += fmt::format(" {}={}", name, value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return out;
}

} // namespace

int run_explain(const command_line& command)
{
    if (command.arguments.size() < 2) {
        std::cerr << "whctl: explain requires a request id and at least one log file\n";
        return exit_usage;
    }
    const auto& id = command.arguments.front();
    std::vector<log_line> found;
    for (std::size_t i = 1; i < command.arguments.size(); ++i) {
        const auto& file = command.arguments[i];
        std::ifstream in{file};
        if (!in) {
            std::cerr << fmt::format("whctl: cannot open log file {}\n", file);
            return exit_usage;
        }
        for (std::string text; std::getline(in, text);) {
            auto fields = json::parse(text, nullptr, false);
            if (fields.is_object() && belongs_to_request(fields, id)) {
                found.push_back({fields.value("ts", ""), file, std::move(fields)});
            }
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const log_line& a, const log_line& b) { return a.time < b.time; });
    for (const auto& line : found) {
        std::cout << describe(line) << '\n';
    }
    if (found.empty()) {
        std::cerr << fmt::format("whctl: no log line found for request {}\n", id);
        return exit_failure;
    }
    return exit_success;
}

} // namespace wagtailhatch
