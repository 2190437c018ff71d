#include "include/config/config_store.h"
#include "include/config/key_file.h"
#include "include/ownership/gone_instances.h"
#include "tools/whctl/commands.h"
#include "tools/whctl/files.h"
#include "tools/whctl/platform_link.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <optional>

namespace wagtailhatch {
namespace {

using json = nlohmann::json;

constexpr auto node_timeout = std::chrono::seconds{2};

int fail(int code, const std::string& message)
{
    std::cerr << "whctl: " << message << '\n';
    return code;
}

/// Starts an operation and runs the event loop until it completes.
template <typename T, typename Start>
T wait_for(platform_link& link, Start start)
{
    std::optional<T> answer;
    start([&](T value) { answer.emplace(std::move(value)); });
    link.run_until([&] { return answer.has_value(); });
    return std::move(answer.value());
}

result<std::unique_ptr<platform_link>> open_platform(const command_line& command)
{
    if (command.platform.empty()) {
        return make_error(errc::invalid_argument, "--platform is missing");
    }
    return make_platform_link(command.platform);
}

struct in_force {
    config_head head;
    document_set documents;
};

result<in_force> read_in_force(platform_link& link)
{
    config_store store{*link.table, *link.objects};
    const auto row = wait_for<result<head_row>>(link, [&](auto done) { store.read_head(std::move(done)); });
    if (!row) {
        return row.failure();
    }
    auto documents = wait_for<result<document_set>>(
        link, [&](auto done) { store.read_documents(row->head, std::move(done)); });
    if (!documents) {
        return documents.failure();
    }
    return in_force{row->head, std::move(*documents)};
}

int exit_of(accept_status status)
{
    switch (status) {
    case accept_status::accepted:
    case accept_status::unchanged:
        return exit_done;
    case accept_status::invalid:
        return exit_mistakes;
    case accept_status::conflict:
        return exit_conflict;
    case accept_status::unavailable:
        return exit_unavailable;
    case accept_status::unknown:
        break;
    }
    return exit_unknown;
}

/// The operator's files then say which version they were made on, so that the next change starts from it.
void note_version(const std::vector<named_document>& documents, std::uint64_t version)
{
    for (const auto& document : documents) {
        const auto current = read_text(document.file);
        if (!current || *current != document.text) {
            std::cerr << fmt::format("whctl: {} changed meanwhile; set made_on to {} by hand\n",
                                     document.file, version);
            continue;
        }
        if (const auto done = replace_text(document.file, with_made_on(document.text, version)); !done) {
            std::cerr << fmt::format("whctl: {}; set made_on to {} by hand\n", done.failure().message(),
                                     version);
        }
    }
}

json ask_node(platform_link& link, const std::string& address)
{
    http_call call;
    call.address = address;
    call.request.method = "GET";
    call.request.target = "/status";
    call.timeout = node_timeout;
    const auto answer =
        wait_for<http_result>(link, [&](auto done) { link.client->start(call, std::move(done)); });
    if (!answer.ok || answer.response.status != 200) {
        return json{{"error",
                     answer.ok ? fmt::format("status {}", answer.response.status) : answer.reason.message()}};
    }
    auto parsed = json::parse(answer.response.body, nullptr, false);
    return parsed.is_object() ? parsed : json{{"error", "the answer is no JSON object"}};
}

std::string field(const json& status, const char* name)
{
    const auto found = status.find(name);
    if (found == status.end()) {
        return "?";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

} // namespace

int run_accept(const command_line& command)
{
    const auto documents = read_documents(command);
    if (!documents) {
        return fail(exit_usage, documents.failure().message());
    }
    if (documents->empty() && command.remove_overlays.empty()) {
        return fail(exit_usage, "accept needs --base, --overlay or --remove_overlay");
    }
    const auto link = open_platform(command);
    const auto id = make_key();
    if (!link || !id) {
        return fail(exit_usage, (link ? id.failure() : link.failure()).message());
    }
    accept_request request;
    request.documents = *documents;
    request.author = command.author;
    request.id = *id;
    for (const auto& data_centre : command.remove_overlays) {
        request.remove.insert(std::string{overlay_document_prefix} + data_centre);
    }
    config_store store{*(*link)->table, *(*link)->objects};
    const auto outcome = wait_for<accept_outcome>(
        **link, [&](auto done) { store.accept(std::move(request), std::move(done)); });
    std::cerr << to_string(outcome.findings);
    if (outcome.status == accept_status::accepted || outcome.status == accept_status::unchanged) {
        note_version(*documents, outcome.version);
        std::cout << fmt::format("{}version {} is in force\n",
                                 outcome.status == accept_status::unchanged ? "no change: " : "",
                                 outcome.version);
        return exit_done;
    }
    return fail(exit_of(outcome.status), outcome.detail);
}

int run_diff(const command_line& command)
{
    const auto documents = read_documents(command);
    const auto link = open_platform(command);
    if (!documents || !link) {
        return fail(exit_usage, (documents ? link.failure() : documents.failure()).message());
    }
    const auto current = read_in_force(**link);
    if (!current) {
        return fail(exit_unavailable, current.failure().message());
    }
    bool differs = false;
    for (const auto& document : *documents) {
        const auto found = current->documents.find(document.name);
        const auto before = found == current->documents.end() ? std::string{} : found->second;
        const auto difference = describe_difference(before, accepted_text(document.text));
        if (!difference.empty()) {
            differs = true;
            std::cout << fmt::format("{} against version {}:\n{}", document.file, current->head.version,
                                     difference);
        }
    }
    return differs ? exit_mistakes : exit_done;
}

int run_show(const command_line& command)
{
    const auto link = open_platform(command);
    if (!link) {
        return fail(exit_usage, link.failure().message());
    }
    const auto current = read_in_force(**link);
    if (!current) {
        return fail(exit_unavailable, current.failure().message());
    }
    const auto found = current->documents.find(command.document);
    if (found != current->documents.end()) {
        std::cout << with_made_on(found->second, current->head.version);
        return exit_done;
    }
    std::cout << fmt::format("version {}\n", current->head.version);
    for (const auto& [name, document] : current->head.documents) {
        std::cout << fmt::format("{} changed in version {}, {}\n", name, document.changed, document.hash);
    }
    return command.document == "all" ? exit_done : fail(exit_usage, "no such document is in force");
}

int run_status(const command_line& command)
{
    if (command.nodes.empty()) {
        return fail(exit_usage, "status needs --nodes");
    }
    const auto link = make_platform_link(command.platform);
    if (!link) {
        return fail(exit_unavailable, link.failure().message());
    }
    std::optional<std::uint64_t> in_force_version;
    if ((*link)->table) {
        if (const auto current = read_in_force(**link)) {
            in_force_version = current->head.version;
            std::cout << fmt::format("in force: version {}\n", *in_force_version);
        }
    }
    bool all_answered = true;
    bool all_current = true;
    for (const auto& address : command.nodes) {
        const auto status = ask_node(**link, address);
        if (status.contains("error")) {
            all_answered = false;
            std::cout << fmt::format("{} does not answer: {}\n", address, field(status, "error"));
            continue;
        }
        const auto version = field(status, "version");
        all_current &= !in_force_version || version == std::to_string(*in_force_version);
        std::cout << fmt::format("{} instance {} data_centre {} service {} version {} state {}\n", address,
                                 field(status, "instance"), field(status, "data_centre"),
                                 field(status, "service"), version, field(status, "state"));
    }
    if (!all_answered) {
        return exit_unavailable;
    }
    return all_current ? exit_done : exit_mistakes;
}

namespace {

// The incarnation in the instance's own row.
result<std::uint64_t> find_incarnation(platform_link& link, const std::string& id)
{
    const auto rows = wait_for<result<std::vector<table_row>>>(
        link, [&](auto done) { link.table->list("instance/", std::move(done)); });
    if (!rows) {
        return rows.failure();
    }
    for (const auto& row : *rows) {
        const auto parsed = json::parse(row.value, nullptr, false);
        if (row.key.ends_with("/" + id) && parsed.is_object()) {
            return parsed.value("incarnation", std::uint64_t{0});
        }
    }
    return make_error(errc::not_found, "instance " + id);
}

} // namespace

int run_instance_gone(const command_line& command)
{
    const auto link = open_platform(command);
    if (!link || command.arguments.size() != 1) {
        return fail(exit_usage, link ? "instance-gone needs one instance id" : link.failure().message());
    }
    auto& table = *(*link)->table;
    const auto& id = command.arguments.front();
    const auto incarnation = find_incarnation(**link, id);
    if (!incarnation) {
        return fail(exit_usage, incarnation.failure().message());
    }
    const auto key = gone_instance_prefix + id;
    const auto old =
        wait_for<result<table_row>>(**link, [&](auto done) { table.read(key, std::move(done)); });
    write_condition condition;
    if (old) {
        condition = {write_condition::kind::must_match, old->etag};
    }
    const auto value = encode_gone_instance({id, *incarnation, command.author});
    const auto written = wait_for<result<std::string>>(
        **link, [&](auto done) { table.write(key, value, condition, std::move(done)); });
    if (written) {
        std::cout << fmt::format("{} is recorded as gone up to incarnation {}\n", id, *incarnation);
        return exit_done;
    }
    const bool lost = written.failure().code != errc::unavailable;
    return fail(lost ? exit_unknown : exit_unavailable, written.failure().message());
}

} // namespace wagtailhatch
