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

double threadSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / NanosecondsPerSecond;
}

}

void print(const Figure &figure, std::uint64_t seed)
{
    std::printf("{\"measure\":\"%s\",\"value\":%s,\"unit\":\"%s\",\"target\":%s,\"bound\":\"%s\",\"baseline\":%s,\"seed\":%llu}\n",
                figure.measure.c_str(),
                numberOrNull(figure.value).c_str(),
                figure.unit.c_str(),
                numberOrNull(figure.target).c_str(),
                figure.bound.c_str(),
                numberOrNull(figure.baseline).c_str(),
                static_cast<unsigned long long>(seed));
    std::fflush(stdout);
}

double Line::at(double size) const
{
    return base + slope * size;
}

Line fit(const std::vector<Point> &points)
{
    const auto count = static_cast<double>(points.size());
    double sizes = 0;
    double costs = 0;
    for (const Point &point : points) {
        sizes += point.size / count;
        costs += point.cost / count;
    }
    double covariance = 0;
    double variance = 0;
    double largest = 0;
    for (const Point &point : points) {
        covariance += (point.size - sizes) * (point.cost - costs);
        variance += (point.size - sizes) * (point.size - sizes);
        largest = std::max(largest, std::abs(point.cost));
    }
    Line line;
    line.slope = variance > 0 ? covariance / variance : 0;
    line.base = costs - line.slope * sizes;
    for (const Point &point : points) {
        line.error = std::max(line.error, largest > 0 ? std::abs(point.cost - line.at(point.size)) / largest : 0);
    }
    return line;
}

double cpuSeconds(const std::function<void()> &work)
{
    const double begun = threadSeconds();
    work();
    return threadSeconds() - begun;
}

double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

}
