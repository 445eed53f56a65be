#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Cornelquay::Benchmark {

/** One measured value; see docs/MEASUREMENTS.md for the output format. */
struct Measurement {
    std::string measure;
    double value = 0;
    std::string unit;
    std::optional<double> target;
    /** How the target bounds the value, such as "at most". */
    std::string bound = "at most";
    /** The value to compare with, for instance that of a simpler policy. */
    std::optional<double> baseline;
};

/** Prints @p measurement and the seed of the run to standard output as one line of JSON. */
void printMeasurement(const Measurement &measurement, std::uint64_t seed);

/** The cost measured at one size. */
struct Point {
    double size = 0;
    double cost = 0;
};

/** The line cost = intercept + slope * size. */
struct Line {
    double intercept = 0;
    double slope = 0;
    /** Largest vertical distance of a point from the line, as a fraction of the largest cost. */
    double maxRelativeError = 0;

    /** The cost at @p size. */
    double at(double size) const;
};

/** Fits a line to @p points by least squares. */
Line fitLine(const std::vector<Point> &points);

/** Runs @p work and returns the processor time that it took on this thread, in seconds. */
double cpuSeconds(const std::function<void()> &work);

/** Bytes currently allocated on the heap by the process. */
double heapBytes();

}
