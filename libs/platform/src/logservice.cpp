#include "platform/logservice.h"

namespace Cornelquay {

namespace {

HttpLog &underlyingLog(HttpLog &log)
{
    return log;
}

MemoryLog &underlyingLog(std::shared_ptr<MemoryLog> &log)
{
    return *log;
}

}

tl::expected<AppendResult, LogError> append(LogService &log, const std::string &bytes, SteadyTime deadline)
{
    return std::visit(
        [&](auto &service) {
            return underlyingLog(service).append(bytes, deadline);
        },
        log);
}

tl::expected<LogRead, LogError> read(LogService &log, const LogQuery &query)
{
    return std::visit(
        [&](auto &service) {
            return underlyingLog(service).read(query);
        },
        log);
}

}
