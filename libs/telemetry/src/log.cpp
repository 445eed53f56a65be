#include "telemetry/log.h"

#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <ctime>
#include <iostream>

namespace Cornelquay {

namespace {

struct LogState {
    LogFormat format = LogFormat::Text;
    std::string process = "cornelquay";
};

LogState &logState()
{
    static LogState state;
    return state;
}

std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[40];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text + length, sizeof text - length, ".%03dZ", static_cast<int>(milliseconds));
    return text;
}

std::string toJsonLine(std::string_view component, std::string_view change, std::initializer_list<LogField> fields)
{
    nlohmann::ordered_json line;
    line["time"] = timestamp();
    line["process"] = logState().process;
    line["component"] = component;
    line["change"] = change;
    for (const LogField &field : fields) {
        line[std::string(field.first)] = field.second;
    }
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::string toTextLine(std::string_view component, std::string_view change, std::initializer_list<LogField> fields)
{
    std::string line = timestamp() + ' ' + logState().process + ' ' + std::string(component) + ": " + std::string(change);
    for (const LogField &field : fields) {
        line += ' ' + std::string(field.first) + '=' + field.second;
    }
    return line;
}

}

void initializeLog(LogFormat format, const std::string &process)
{
    logState() = {format, process};
    boost::log::add_console_log(std::cerr,
                                boost::log::keywords::format = boost::log::expressions::stream << boost::log::expressions::smessage,
                                boost::log::keywords::auto_flush = true);
}

void logChange(std::string_view component, std::string_view change, std::initializer_list<LogField> fields)
{
    static boost::log::sources::logger_mt logger;
    const bool json = logState().format == LogFormat::Json;
    BOOST_LOG(logger) << (json ? toJsonLine(component, change, fields) : toTextLine(component, change, fields));
}

}
