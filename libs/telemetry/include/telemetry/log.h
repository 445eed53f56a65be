#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace Cornelquay {

/** Format of log lines. */
enum class LogFormat {
    Text,
    Json,
};

/** One named value in a log line. */
using LogField = std::pair<std::string_view, std::string>;

/** Output of log lines. */
enum class LogStream {
    StandardError,
    StandardOutput,
};

/**
 * Starts writing log lines to @p stream in @p format, each with the name @p process. Called once,
 * before other threads start. A background thread writes the lines from a bounded queue; when the
 * queue is full, new lines are dropped, so that logging never blocks its caller.
 */
void initializeLog(LogFormat format, const std::string &process, LogStream stream = LogStream::StandardError);

/** Writes all queued lines and stops logging. Called once, before the process ends. */
void finishLog();

/**
 * Logs a decision or a change of state as one line: @p component, @p change and the @p fields.
 * Frequent events are counted in Metrics instead. Never pass secrets of keys. Thread-safe.
 *
 * @code
 * logChange("upstream", "instance ejected", {{"instance", name}, {"pool", pool}});
 * @endcode
 */
void logChange(std::string_view component, std::string_view change, std::initializer_list<LogField> fields = {});

}
