#include "src/config/call_graph.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace wagtailhatch {
namespace {

/// Depth-first search with an explicit stack instead of recursion, because a file may contain a call chain of
/// thousands of services.
class call_depth_search {
public:
    call_depth_search(const call_graph& graph, const call_error_callback& report)
        : graph_{graph}
        , report_{report}
    {
    }

    /// Returns the number of services in the longest call chain that begins at start.
    std::size_t depth(const std::string& start)
    {
        if (depths_.count(start) == 0) {
            visit(start);
        }
        return depths_.at(start);
    }

private:
    struct frame {
        std::string service;
        std::size_t next = 0;
        std::size_t deepest = 0;
    };

    const std::vector<called_service>& callees_of(const std::string& service) const
    {
        static const std::vector<called_service> none;
        const auto found = graph_.calls.find(service);
        return found == graph_.calls.end() ? none : found->second;
    }

    void report_cycle(const std::vector<frame>& path, const called_service& call)
    {
        const auto first =
            std::find_if(path.begin(), path.end(), [&](const frame& f) { return f.service == call.name; });
        std::string chain;
        for (auto i = first; i != path.end(); ++i) {
            chain += i->service + " -> ";
        }
        report_({call.line, call.column}, "the calls form a cycle: " + chain + call.name,
                "remove one of these calls");
    }

    void visit(const std::string& start)
    {
        std::vector<frame> path{{start}};
        on_path_.insert(start);
        while (!path.empty()) {
            auto& top = path.back();
            const auto& calls = callees_of(top.service);
            if (top.next == calls.size()) {
                const auto depth = top.deepest + 1;
                depths_[top.service] = depth;
                on_path_.erase(top.service);
                path.pop_back();
                if (!path.empty()) {
                    path.back().deepest = std::max(path.back().deepest, depth);
                }
                continue;
            }
            const auto& call = calls[top.next++];
            if (graph_.positions.count(call.name) == 0) {
                continue;
            }
            if (on_path_.count(call.name) != 0) {
                report_cycle(path, call);
            }
            else if (const auto known = depths_.find(call.name); known != depths_.end()) {
                top.deepest = std::max(top.deepest, known->second);
            }
            else {
                on_path_.insert(call.name);
                path.push_back({call.name});
            }
        }
    }

    const call_graph& graph_;
    const call_error_callback& report_;
    std::map<std::string, std::size_t> depths_;
    std::set<std::string> on_path_;
};

} // namespace

void check_call_graph(const call_graph& graph, std::size_t max_depth, const call_error_callback& report)
{
    for (const auto& [service, calls] : graph.calls) {
        std::set<std::string> seen;
        for (const auto& call : calls) {
            if (graph.positions.count(call.name) == 0) {
                report({call.line, call.column}, fmt::format("'{}' is not a service", call.name),
                       "use a name from 'services'");
            }
            else if (!seen.insert(call.name).second) {
                report({call.line, call.column},
                       fmt::format("'{}' is listed twice in the calls of '{}'", call.name, service),
                       "list each service once");
            }
        }
    }
    call_depth_search walk{graph, report};
    std::size_t deepest = 0;
    std::string start;
    for (const auto& [service, position] : graph.positions) {
        const auto depth = walk.depth(service);
        if (depth > deepest) {
            deepest = depth;
            start = service;
        }
    }
    if (deepest > max_depth) {
        report(graph.positions.at(start),
               fmt::format("the calls from '{}' form a chain of {} services", start, deepest),
               fmt::format("shorten it to at most {} services", max_depth));
    }
}

} // namespace wagtailhatch
