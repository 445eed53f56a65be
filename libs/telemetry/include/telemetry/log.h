#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace Cornelquay {

/** How log lines are written. */
enum class LogFormat {
    Text,
    Json,
};

/** One named value in a log line. */
using LogField = std::pair<std::string_view, std::string>;

/** Where log lines go. */
enum class LogStream {
    StandardError,
    StandardOutput,
};

/**
 * Directs log lines to @p stream in @p format. Called once, before other threads start.
 * @p process names the writer in each line. Lines wait in a bounded queue for a thread that writes
 * them; when it is full, lines are dropped, so that logging never blocks its caller.
 */
void initializeLog(LogFormat format, const std::string &process, LogStream stream = LogStream::StandardError);

/** Writes what waits; called once before the process ends. */
void finishLog();

/**
 * Writes one line for a decision or a change of state. Events that repeat are counted in Metrics instead.
 * Thread-safe. Key secrets must never be passed.
 */
void logChange(std::string_view component, std::string_view change, std::initializer_list<LogField> fields = {});

}
