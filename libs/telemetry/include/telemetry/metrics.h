#pragma once

#include <map>
#include <memory>
#include <string>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
}

namespace Cornelquay {

/** Label names and values of one metric. */
using MetricLabels = std::map<std::string, std::string>;

/** A count that only increases. Thread-safe; a handle that is cheap to copy and must not outlive its Metrics. */
class Counter
{
public:
    explicit Counter(prometheus::Counter &counter);
    void increment(double amount = 1.0);
    double value() const;

private:
    prometheus::Counter *m_counter;
};

/** A value that can increase and decrease. Thread-safe; must not outlive its Metrics. */
class Gauge
{
public:
    explicit Gauge(prometheus::Gauge &gauge);
    void set(double value);

private:
    prometheus::Gauge *m_gauge;
};

/** A latency distribution in seconds. Thread-safe; must not outlive its Metrics. */
class LatencyHistogram
{
public:
    explicit LatencyHistogram(prometheus::Histogram &histogram);
    void observe(double seconds);

private:
    prometheus::Histogram *m_histogram;
};

/**
 * The metrics of one process.
 *
 * Created once by the daemon, passed by reference to every module that counts, destroyed last.
 * Repeated calls with the same name and labels return handles of the same metric. Names get the
 * prefix "cornelquay_". Thread-safe, but a lookup takes a lock, so modules keep their handles.
 *
 * @code
 * Metrics metrics;
 * Counter answered = metrics.counter("requests_total", "Requests by outcome", {{"outcome", "answered"}});
 * answered.increment();
 * @endcode
 */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    Counter counter(const std::string &name, const std::string &help, const MetricLabels &labels = {});
    Gauge gauge(const std::string &name, const std::string &help, const MetricLabels &labels = {});
    LatencyHistogram latency(const std::string &name, const std::string &help, const MetricLabels &labels = {});

    /** All metrics in the Prometheus text format. */
    std::string toText() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
