#include "measurement.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>

namespace Cornelquay::Benchmark {

namespace {

constexpr double NanosecondsPerSecond = 1e9;

std::string numberOrNull(const std::optional<double> &value)
{
    if (!value) {
        return "null";
    }
    char text[32];
    std::snprintf(text, sizeof text, "%.6g", *value);
    return text;
}

double threadCpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / NanosecondsPerSecond;
}

}

void printMeasurement(const Measurement &measurement, std::uint64_t seed)
{
    std::printf("{\"measure\":\"%s\",\"value\":%s,\"unit\":\"%s\",\"target\":%s,\"bound\":\"%s\",\"baseline\":%s,\"seed\":%llu}\n",
                measurement.measure.c_str(),
                numberOrNull(measurement.value).c_str(),
                measurement.unit.c_str(),
                numberOrNull(measurement.target).c_str(),
                measurement.bound.c_str(),
                numberOrNull(measurement.baseline).c_str(),
                static_cast<unsigned long long>(seed));
    std::fflush(stdout);
}

double Line::at(double size) const
{
    return intercept + slope * size;
}

Line fitLine(const std::vector<Point> &points)
{
    const auto count = static_cast<double>(points.size());
    double meanSize = 0;
    double meanCost = 0;
    for (const Point &point : points) {
        meanSize += point.size / count;
        meanCost += point.cost / count;
    }
    double covariance = 0;
    double variance = 0;
    double maxCost = 0;
    for (const Point &point : points) {
        covariance += (point.size - meanSize) * (point.cost - meanCost);
        variance += (point.size - meanSize) * (point.size - meanSize);
        maxCost = std::max(maxCost, std::abs(point.cost));
    }
    Line line;
    line.slope = variance > 0 ? covariance / variance : 0;
    line.intercept = meanCost - line.slope * meanSize;
    for (const Point &point : points) {
        line.maxRelativeError = std::max(line.maxRelativeError, maxCost > 0 ? std::abs(point.cost - line.at(point.size)) / maxCost : 0);
    }
    return line;
}

double cpuSeconds(const std::function<void()> &work)
{
    const double startedAt = threadCpuSeconds();
    work();
    return threadCpuSeconds() - startedAt;
}

double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

}
