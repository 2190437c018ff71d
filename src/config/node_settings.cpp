#include "include/config/node_settings.h"

#include "src/config/field_reader.h"

#include <fmt/format.h>

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <utility>

namespace wagtailhatch {
namespace {

constexpr std::size_t max_settings_size = std::size_t{64} * 1024;
constexpr std::size_t max_secret_size = 4096;
constexpr std::size_t least_secret_size = 32;
constexpr std::array<std::pair<std::string_view, log_level>, 4> log_levels{{{"debug", log_level::debug},
                                                                            {"info", log_level::info},
                                                                            {"warning", log_level::warning},
                                                                            {"error", log_level::error}}};

bool is_ip(const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return inet_pton(AF_INET, text.c_str(), buffer.data()) == 1 ||
           inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1;
}

bool is_loopback(const std::string& ip)
{
    return ip == "::1" || ip.rfind("127.", 0) == 0;
}

/// "127.0.0.1:80" or "[::1]:80".
std::optional<listen_address> split_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == text.npos) {
        return std::nullopt;
    }
    auto ip = text.substr(0, colon);
    const auto port_text = text.substr(colon + 1);
    const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (bracketed) {
        ip = ip.substr(1, ip.size() - 2);
    }
    listen_address address;
    address.ip = std::string{ip};
    const bool is_v6 = ip.find(':') != ip.npos;
    const auto* end = port_text.data() + port_text.size();
    const auto [stop, code] = std::from_chars(port_text.data(), end, address.port);
    const bool leading_zero = port_text.size() > 1 && port_text.front() == '0';
    if (is_v6 != bracketed || !is_ip(address.ip) || code != std::errc{} || stop != end || leading_zero) {
        return std::nullopt;
    }
    return address;
}

std::optional<std::string> read_file(const std::filesystem::path& path, std::size_t max_size)
{
    std::ifstream in{path, std::ios::binary};
    std::string content(max_size + 1, '\0');
    if (!in || !in.read(content.data(), static_cast<std::streamsize>(content.size())).eof()) {
        return std::nullopt;
    }
    content.resize(static_cast<std::size_t>(in.gcount()));
    return content;
}

class settings_reader {
public:
    settings_reader(const std::string& file, std::vector<finding>& findings)
        : file_{file}
        , read_{file, findings}
    {
    }

    node_settings read(const yaml_tree& root)
    {
        if (!read_.check_fields(root, "the settings file", {"instance", "data_centre", "service", "platform"},
                                {"callers", "local", "peers", "admin", "advertised", "seeds", "peer_secret",
                                 "peer_secret_file", "log_level", "trace_endpoint", "drain_timeout",
                                 "seed"})) {
            return {};
        }
        read_names(root);
        read_listeners(root);
        read_destinations(root);
        read_secret(root);
        read_rest(root);
        return std::move(settings_);
    }

private:
    void read_names(const yaml_tree& root)
    {
        const auto put = [&](std::string_view field, std::string& into) {
            if (const auto* node = root.find(field)) {
                into = read_.name(*node, field).value_or("");
            }
        };
        put("instance", settings_.instance);
        put("data_centre", settings_.data_centre);
        put("service", settings_.service);
    }

    std::optional<listen_address> address(const yaml_tree& node, std::string_view field, bool port_needed)
    {
        const auto text = read_.text(node, field);
        if (!text) {
            return std::nullopt;
        }
        auto value = split_address(*text);
        if (!value || (port_needed && value->port == 0)) {
            read_.report(node, fmt::format("'{}' is not valid for '{}'", *text, field),
                         port_needed ? "write an IP number and a port, for example 127.0.0.1:8080"
                                     : "write an IP number and a port or 0, for example 127.0.0.1:0");
            return std::nullopt;
        }
        return value;
    }

    void read_listeners(const yaml_tree& root)
    {
        const auto put = [&](std::string_view field, listen_address& into) {
            if (const auto* node = root.find(field)) {
                into = address(*node, field, false).value_or(into);
            }
        };
        put("callers", settings_.callers);
        put("local", settings_.local);
        put("peers", settings_.peers);
        put("admin", settings_.admin);
        if (!is_loopback(settings_.local.ip)) {
            read_.report(*root.find("local"),
                         fmt::format("'{}' is not a loopback address", settings_.local.ip),
                         "the local listener trusts the handle that a call carries; write 127.0.0.1:PORT");
        }
    }

    void read_destinations(const yaml_tree& root)
    {
        const auto put = [&](std::string_view field, std::string& into, bool port_needed) {
            const auto* node = root.find(field);
            if (node != nullptr && address(*node, field, port_needed)) {
                into = node->text;
            }
        };
        put("platform", settings_.platform, true);
        put("trace_endpoint", settings_.trace_endpoint, true);
        put("advertised", settings_.advertised, false);
        if (root.find("advertised") == nullptr) {
            const auto& peers = settings_.peers;
            const bool is_v6 = peers.ip.find(':') != std::string::npos;
            settings_.advertised = fmt::format("{}:{}", is_v6 ? "[" + peers.ip + "]" : peers.ip, peers.port);
            if (peers.ip == "0.0.0.0" || peers.ip == "::") {
                read_.report(*root.find("peers"), "peers cannot connect to an unspecified address",
                             "add 'advertised' with the address that they reach");
            }
        }
        const auto* seeds = root.find("seeds");
        if (seeds == nullptr) {
            return;
        }
        std::set<std::string> seen;
        read_.each_item(*seeds, "seeds", [&](const yaml_tree& item) {
            if (address(item, "seeds", true) && !seen.insert(item.text).second) {
                read_.report(item, fmt::format("the seed {} is repeated", item.text), "keep one of them");
            }
        });
        settings_.seeds.assign(seen.begin(), seen.end());
    }

    void read_secret(const yaml_tree& root)
    {
        const auto* value = root.find("peer_secret");
        const auto* file = root.find("peer_secret_file");
        if ((value == nullptr) == (file == nullptr)) {
            read_.report(root,
                         value == nullptr ? "the peer secret is missing" : "the peer secret is given twice",
                         "add either 'peer_secret' or 'peer_secret_file'");
            return;
        }
        const auto& place = value != nullptr ? *value : *file;
        std::optional<std::string> secret;
        if (value != nullptr) {
            secret = read_.text(*value, "peer_secret");
        }
        else if (const auto name = read_.text(*file, "peer_secret_file")) {
            secret = read_file(std::filesystem::path{file_}.parent_path() / *name, max_secret_size);
            if (!secret) {
                read_.report(place, fmt::format("cannot read '{}'", *name),
                             fmt::format("name a readable file of at most {} bytes", max_secret_size));
            }
            while (secret && !secret->empty() && (secret->back() == '\n' || secret->back() == '\r')) {
                secret->pop_back();
            }
        }
        if (secret && secret->size() < least_secret_size) {
            read_.report(place, fmt::format("the peer secret has only {} bytes", secret->size()),
                         fmt::format("use at least {} random bytes", least_secret_size));
        }
        settings_.peer_secret = secret.value_or("");
    }

    void read_rest(const yaml_tree& root)
    {
        using namespace std::chrono_literals;
        if (const auto* node = root.find("log_level")) {
            const auto text = read_.text(*node, "log_level");
            bool found = !text;
            for (const auto& [name, level] : log_levels) {
                if (text == name) {
                    settings_.level = level;
                    found = true;
                }
            }
            if (!found) {
                read_.report(*node, fmt::format("'{}' is not valid for 'log_level'", *text),
                             "write debug, info, warning or error");
            }
        }
        if (const auto* node = root.find("drain_timeout")) {
            settings_.drain_timeout =
                read_.time(*node, "drain_timeout", 0s, 1h).value_or(settings_.drain_timeout);
        }
        if (const auto* node = root.find("seed")) {
            settings_.seed = read_.integer(*node, "seed", 0, UINT64_MAX).value_or(0);
        }
    }

    const std::string& file_;
    field_reader read_;
    node_settings settings_;
};

} // namespace

parsed<node_settings> parse_node_settings(const std::string& file, std::string_view text)
{
    parsed<node_settings> answer;
    if (const auto tree = read_yaml(file, text, max_settings_size, answer.findings)) {
        auto settings = settings_reader{file, answer.findings}.read(*tree);
        if (answer.findings.empty()) {
            answer.value = std::move(settings);
        }
    }
    return answer;
}

parsed<node_settings> load_node_settings(const std::string& file)
{
    const auto text = read_file(file, max_settings_size);
    if (!text) {
        return {std::nullopt,
                {{file, 0, 0, "cannot be read",
                  fmt::format("name a readable file of at most {} bytes", max_settings_size)}}};
    }
    return parse_node_settings(file, *text);
}

} // namespace wagtailhatch
