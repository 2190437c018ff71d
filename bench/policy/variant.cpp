#include "bench/policy/variant.h"

#include <functional>

namespace wagtailhatch::bench {

variant no_control()
{
    variant v = fixed_limit();
    v.name = "no control";
    v.admission = false;
    v.hop_retries = 0;
    v.retry_tokens = 0;
    return v;
}

variant fixed_limit()
{
    variant v;
    v.name = "fixed limit at slots, per-hop retries";
    v.importance_classes = false;
    v.entry_shedding = false;
    v.propagate_deadline = false;
    v.retry_tokens = 0;
    v.hop_retries = 2;
    v.throttle = false;
    v.quota = false;
    v.quarantine = false;
    v.admit.queueing = false;
    v.route.two_choices = false;
    v.route.use_reports = false;
    v.route.ejection = false;
    v.route.prefer_own_data_centre = false;
    return v;
}

variant fixed_connections()
{
    variant v = fixed_limit();
    v.name = "fixed limit at connections, per-hop retries";
    v.limit_at_connections = true;
    return v;
}

variant product()
{
    variant v;
    v.name = "product";
    return v;
}

std::vector<variant> ablations()
{
    const std::vector<std::pair<const char*, std::function<void(variant&)>>> changes{
        {"- importance", [](variant& v) { v.importance_classes = false; }},
        {"- queue", [](variant& v) { v.admit.queueing = false; }},
        {"- fairness", [](variant& v) { v.admit.queue.fair = v.route.shedding.fair = false; }},
        {"- deadline aware", [](variant& v) { v.admit.deadline_aware = false; }},
        {"- ageing", [](variant& v) { v.admit.queue.drop_aged = false; }},
        {"- entry shedding", [](variant& v) { v.entry_shedding = false; }},
        {"- deadlines, cancel", [](variant& v) { v.propagate_deadline = false; }},
        {"- retry tokens", [](variant& v) { v.hop_retries = 2; }},
        {"- throttle", [](variant& v) { v.throttle = false; }},
        {"- all retry bounds", [](variant& v) { v.hop_retries = 2, v.throttle = false; }},
        {"- two choices", [](variant& v) { v.route.two_choices = false; }},
        {"- reports", [](variant& v) { v.route.use_reports = false; }},
        {"- own data centre", [](variant& v) { v.route.prefer_own_data_centre = false; }},
        {"- ejection", [](variant& v) { v.route.ejection = false; }},
        {"- configured slots", [](variant& v) { v.use_configured_slots = false; }},
        {"- quota, - fairness",
         [](variant& v) { v.quota = v.admit.queue.fair = v.route.shedding.fair = false; }},
        {"- quota", [](variant& v) { v.quota = false; }},
        {"- quarantine", [](variant& v) { v.quarantine = false; }},
    };
    std::vector<variant> all;
    for (const auto& [name, change] : changes) {
        variant v = product();
        v.name = name;
        change(v);
        all.push_back(v);
    }
    return all;
}

} // namespace wagtailhatch::bench
