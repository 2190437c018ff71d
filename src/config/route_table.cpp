#include "include/config/route_table.h"

#include "src/http/header_rules.h"

#include <algorithm>
#include <utility>

namespace wagtailhatch {
namespace {

std::optional<unsigned> hex_digit(char c)
{
    if (c >= '0' && c <= '9') {
        return static_cast<unsigned>(c - '0');
    }
    const char lower = static_cast<char>(c | 0x20);
    return lower >= 'a' && lower <= 'f' ? std::optional{static_cast<unsigned>(lower - 'a' + 10)}
                                        : std::nullopt;
}

/// Decodes the escape "%XY" at the start of text.
std::optional<char> decode_escape(std::string_view text)
{
    if (text.size() < 3) {
        return std::nullopt;
    }
    const auto high = hex_digit(text[1]);
    const auto low = hex_digit(text[2]);
    return high && low ? std::optional{static_cast<char>(*high << 4 | *low)} : std::nullopt;
}

/// Some servers strip path parameters (from ';' on) before they resolve dot segments, so "..;x" counts as
/// "..".
bool is_dot_segment(std::string_view segment)
{
    const auto bare = segment.substr(0, segment.find(';'));
    return bare == "." || bare == "..";
}

bool has_unambiguous_segments(std::string_view path)
{
    std::size_t begin = 1;
    while (begin <= path.size()) {
        const auto end = std::min(path.find('/', begin), path.size());
        const auto segment = path.substr(begin, end - begin);
        const bool last = end == path.size();
        if (is_dot_segment(segment) || (segment.empty() && !last)) {
            return false;
        }
        begin = end + 1;
    }
    return true;
}

bool takes_precedence(const route_config& route, const route_config* current_best)
{
    return current_best == nullptr || (current_best->method.empty() && !route.method.empty());
}

/// Strips the trailing slash, except from "/" itself.
std::string prefix_key(std::string_view path)
{
    if (path.size() > 1 && path.back() == '/') {
        path.remove_suffix(1);
    }
    return std::string{path};
}

/// Converts to lower case and strips the port.
std::string host_name(std::string_view host)
{
    const auto colon = host.rfind(':');
    if (colon != host.npos && host.find(']', colon) == host.npos) {
        host = host.substr(0, colon);
    }
    return to_lower(host);
}

} // namespace

std::optional<std::string> canonical_path(std::string_view target)
{
    const auto raw = target.substr(0, target.find('?'));
    if (raw.empty() || raw.front() != '/' || target.find('#') != target.npos) {
        return std::nullopt;
    }
    std::string path;
    path.reserve(raw.size());
    for (std::size_t i = 0; i < raw.size(); ++i) {
        char c = raw[i];
        if (c == '%') {
            const auto decoded = decode_escape(raw.substr(i));
            if (!decoded || *decoded == '/' || *decoded == '%') {
                return std::nullopt;
            }
            c = *decoded;
            i += 2;
        }
        if (static_cast<unsigned char>(c) <= 0x20 || c == 0x7f || c == '\\') {
            if (c != ' ' || raw[i] == ' ') {
                return std::nullopt;
            }
        }
        path += c;
    }
    return has_unambiguous_segments(path) ? std::optional{std::move(path)} : std::nullopt;
}

route_table::route_table(std::shared_ptr<const configuration> config)
    : config_{std::move(config)}
{
    for (const auto& route : config_->routes) {
        by_host_[host_name(route.host)][prefix_key(route.path_prefix)].push_back(&route);
    }
}

const route_config* route_table::find_in(const prefix_map& routes, std::string_view method,
                                         std::string_view full_path)
{
    auto path = prefix_key(full_path);
    // Starts with the whole path and removes the last segment each time, down to "/".
    for (;;) {
        const route_config* best = nullptr;
        if (const auto found = routes.find(path); found != routes.end()) {
            for (const auto* route : found->second) {
                const bool fits = full_path.substr(0, route->path_prefix.size()) == route->path_prefix;
                if (fits && (route->method.empty() || route->method == method) &&
                    takes_precedence(*route, best)) {
                    best = route;
                }
            }
        }
        if (best != nullptr) {
            return best;
        }
        if (path.size() == 1) {
            return nullptr;
        }
        path.resize(std::max<std::size_t>(path.rfind('/'), 1));
    }
}

const route_config* route_table::find(std::string_view host, std::string_view method,
                                      std::string_view target) const
{
    const auto path = canonical_path(target);
    if (!path) {
        return nullptr;
    }
    for (const auto& name : {host_name(host), std::string{}}) {
        const auto routes = by_host_.find(name);
        if (routes == by_host_.end()) {
            continue;
        }
        if (const auto* found = find_in(routes->second, method, *path)) {
            return found;
        }
    }
    return nullptr;
}

} // namespace wagtailhatch
