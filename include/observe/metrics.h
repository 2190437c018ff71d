#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace wagtailhatch {

/// Labels of a metric. Values must come from configuration or fixed lists, never from requests: each new
/// value creates another time series.
using metric_labels = std::map<std::string, std::string>;

/// Handles to metrics: cheap to copy, thread-safe, valid for the lifetime of the registry.
class counter_metric {
public:
    explicit counter_metric(prometheus::Counter& counter)
        : counter_{&counter}
    {
    }
    void add(double amount = 1);

private:
    prometheus::Counter* counter_;
};

class gauge_metric {
public:
    explicit gauge_metric(prometheus::Gauge& gauge)
        : gauge_{&gauge}
    {
    }
    void set(double value);
    void add(double amount);

private:
    prometheus::Gauge* gauge_;
};

class histogram_metric {
public:
    explicit histogram_metric(prometheus::Histogram& histogram)
        : histogram_{&histogram}
    {
    }
    void observe(double value);

private:
    prometheus::Histogram* histogram_;
};

/// Prometheus metrics registry of a process. The same name and labels always yield the same metric, so
/// callers need not share handles. Look-ups take a lock: code on the request path must keep its handles.
/// Throws std::invalid_argument for a malformed name or a name registered with another type; both are
/// programming errors.
class metrics {
public:
    /// labels: added to every metric, for example the service and the data centre.
    explicit metrics(metric_labels labels = {});
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    counter_metric counter(const std::string& name, const std::string& help,
                           const metric_labels& labels = {});
    gauge_metric gauge(const std::string& name, const std::string& help, const metric_labels& labels = {});

    /// bounds: ascending upper bounds of the buckets.
    histogram_metric histogram(const std::string& name, const std::string& help,
                               const std::vector<double>& bounds, const metric_labels& labels = {});

    /// All metrics in the Prometheus text exposition format; thread-safe.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Content-Type of metrics::text().
constexpr const char* metrics_content_type = "text/plain; version=0.0.4; charset=utf-8";

/// Histogram bucket bounds for latencies in seconds, from 0.1 ms to 10 s.
std::vector<double> latency_buckets();

} // namespace wagtailhatch
