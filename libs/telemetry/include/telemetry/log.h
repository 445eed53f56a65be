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

/**
 * Directs log lines to standard error in @p format. Called once, before other threads start.
 * @p process names the writer in each line.
 */
void initializeLog(LogFormat format, const std::string &process);

/**
 * Writes one line for a change of state. Events that repeat are counted in Metrics instead.
 * Thread-safe. Key secrets must never be passed.
 */
void logChange(std::string_view component, std::string_view change, std::initializer_list<LogField> fields = {});

}
