#include "telemetry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace Cornelquay {

namespace {

constexpr const char *NamePrefix = "cornelquay_";

const prometheus::Histogram::BucketBoundaries LatencyBucketsSeconds{0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0};

}

Counter::Counter(prometheus::Counter &counter)
    : m_counter(&counter)
{
}

void Counter::increment(double amount)
{
    m_counter->Increment(amount);
}

double Counter::value() const
{
    return m_counter->Value();
}

Gauge::Gauge(prometheus::Gauge &gauge)
    : m_gauge(&gauge)
{
}

void Gauge::set(double value)
{
    m_gauge->Set(value);
}

LatencyHistogram::LatencyHistogram(prometheus::Histogram &histogram)
    : m_histogram(&histogram)
{
}

void LatencyHistogram::observe(double seconds)
{
    m_histogram->Observe(seconds);
}

struct Metrics::Impl {
    prometheus::Registry registry;
};

Metrics::Metrics()
    : m_impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

Counter Metrics::counter(const std::string &name, const std::string &help, const MetricLabels &labels)
{
    return Counter(prometheus::BuildCounter().Name(NamePrefix + name).Help(help).Register(m_impl->registry).Add(labels));
}

Gauge Metrics::gauge(const std::string &name, const std::string &help, const MetricLabels &labels)
{
    return Gauge(prometheus::BuildGauge().Name(NamePrefix + name).Help(help).Register(m_impl->registry).Add(labels));
}

LatencyHistogram Metrics::latency(const std::string &name, const std::string &help, const MetricLabels &labels)
{
    return LatencyHistogram(prometheus::BuildHistogram().Name(NamePrefix + name).Help(help).Register(m_impl->registry).Add(labels, LatencyBucketsSeconds));
}

std::string Metrics::toText() const
{
    return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

}
