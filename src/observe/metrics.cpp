#include "include/observe/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <utility>

namespace wagtailhatch {

struct metrics::state {
    prometheus::Registry registry;
    metric_labels labels;
};

void counter_metric::add(double amount)
{
    counter_->Increment(amount);
}

void gauge_metric::set(double value)
{
    gauge_->Set(value);
}

void gauge_metric::add(double amount)
{
    gauge_->Increment(amount);
}

void histogram_metric::observe(double value)
{
    histogram_->Observe(value);
}

metrics::metrics(metric_labels labels)
    : state_{std::make_unique<state>()}
{
    state_->labels = std::move(labels);
}

metrics::~metrics() = default;

counter_metric metrics::counter(const std::string& name, const std::string& help, const metric_labels& labels)
{
    auto& family =
        prometheus::BuildCounter().Name(name).Help(help).Labels(state_->labels).Register(state_->registry);
    return counter_metric{family.Add(labels)};
}

gauge_metric metrics::gauge(const std::string& name, const std::string& help, const metric_labels& labels)
{
    auto& family =
        prometheus::BuildGauge().Name(name).Help(help).Labels(state_->labels).Register(state_->registry);
    return gauge_metric{family.Add(labels)};
}

histogram_metric metrics::histogram(const std::string& name, const std::string& help,
                                    const std::vector<double>& bounds, const metric_labels& labels)
{
    auto& family =
        prometheus::BuildHistogram().Name(name).Help(help).Labels(state_->labels).Register(state_->registry);
    return histogram_metric{family.Add(labels, bounds)};
}

std::string metrics::text() const
{
    return prometheus::TextSerializer{}.Serialize(state_->registry.Collect());
}

std::vector<double> latency_buckets()
{
    return {0.0001, 0.0002, 0.0004, 0.0006, 0.001, 0.002, 0.005, 0.01, 0.02,
            0.05,   0.1,    0.2,    0.5,    1,     2,     5,     10};
}

} // namespace wagtailhatch
