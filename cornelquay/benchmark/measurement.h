#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Cornelquay::Benchmark {

/** One printed figure; see docs/MEASUREMENTS.md for the form. */
struct Measurement {
    std::string measure;
    double value = 0;
    std::string unit;
    std::optional<double> target;
    std::string bound = "at most";
    std::optional<double> baseline;
};

/** Prints @p figure as one line of JSON. */
void printMeasurement(const Measurement &measurement, std::uint64_t seed);

/** A measured point: something's cost at a size. */
struct Point {
    double size = 0;
    double cost = 0;
};

/** cost = base + slope * size, by least squares. */
struct Line {
    double intercept = 0;
    double slope = 0;
    /** Largest distance of a point from the line, as a fraction of the largest cost. */
    double maxRelativeError = 0;

    double at(double size) const;
};

Line fitLine(const std::vector<Point> &points);

/** Processor time of this thread that @p work takes, in seconds. */
double cpuSeconds(const std::function<void()> &work);

/** Bytes that the process holds on the heap now. */
double heapBytes();

}
