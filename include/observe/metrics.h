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

/// Labels of one metric. Values must come from configuration or fixed lists, never from requests: each new
/// value is another time series.
using metric_labels = std::map<std::string, std::string>;

/// Handles to metrics. Cheap to copy, safe in any thread, valid while the registry lives.
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

/// Metrics of one process by name. Asking again for the same name and labels answers the same metric, so that
/// callers need not share handles; look-ups take a lock, so keep the handles on the request path.
/// Throws std::invalid_argument for a malformed or differently typed name, which is a fault in the program.
class metrics {
public:
    /// labels: put on every metric, such as the service and the data centre.
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

    /// All metrics in Prometheus' text format. Any thread.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Content-Type of metrics::text().
constexpr const char* metrics_content_type = "text/plain; version=0.0.4; charset=utf-8";

/// Buckets for times in seconds, from 0.1 ms to 10 s.
std::vector<double> latency_buckets();

} // namespace wagtailhatch
