#include "telemetry/log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <ctime>
#include <iostream>
#include <utility>

namespace Cornelquay {

namespace {

// When this many lines wait for the writing thread, further ones are dropped.
constexpr std::size_t MaxQueuedLines = 4000;

using Sink = boost::log::sinks::asynchronous_sink<boost::log::sinks::text_ostream_backend,
                                                  boost::log::sinks::bounded_fifo_queue<MaxQueuedLines, boost::log::sinks::drop_on_overflow>>;

struct LogState {
    LogFormat format = LogFormat::Text;
    std::string process = "cornelquay";
    boost::shared_ptr<Sink> sink;
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
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    char text[40];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &utc);
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

void initializeLog(LogFormat format, const std::string &process, LogStream stream)
{
    logState().format = format;
    logState().process = process;
    auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
    std::ostream &target = stream == LogStream::StandardOutput ? std::cout : std::cerr;
    backend->add_stream(boost::shared_ptr<std::ostream>(&target, boost::null_deleter()));
    backend->auto_flush(true);
    logState().sink = boost::make_shared<Sink>(std::move(backend));
    logState().sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(logState().sink);
}

void finishLog()
{
    if (const boost::shared_ptr<Sink> sink = std::exchange(logState().sink, nullptr)) {
        boost::log::core::get()->remove_sink(sink);
        sink->stop();
        sink->flush();
    }
}

void logChange(std::string_view component, std::string_view change, std::initializer_list<LogField> fields)
{
    static boost::log::sources::logger_mt logger;
    const bool json = logState().format == LogFormat::Json;
    BOOST_LOG(logger) << (json ? toJsonLine(component, change, fields) : toTextLine(component, change, fields));
}

}
