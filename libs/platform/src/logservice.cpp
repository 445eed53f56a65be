#include "platform/logservice.h"

namespace Cornelquay {

namespace {

HttpLog &target(HttpLog &log)
{
    return log;
}

MemoryLog &target(std::shared_ptr<MemoryLog> &log)
{
    return *log;
}

}

tl::expected<Appended, LogError> append(LogService &log, const std::string &bytes, SteadyTime deadline)
{
    return std::visit(
        [&](auto &service) {
            return target(service).append(bytes, deadline);
        },
        log);
}

tl::expected<LogRead, LogError> read(LogService &log, const LogQuery &query)
{
    return std::visit(
        [&](auto &service) {
            return target(service).read(query);
        },
        log);
}

}
