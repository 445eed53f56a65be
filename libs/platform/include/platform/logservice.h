#pragma once

#include "records/identifiers.h"
#include "timing/instant.h"
#include "transport/address.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace Cornelquay {

/** Effect of a failed call to the log. */
enum class LogError {
    /** The call certainly had no effect. */
    NotDone,
    /** The call may have taken effect; its answer is missing or unreadable. */
    Unknown,
};

/** The result of a successful append. */
struct AppendResult {
    /** Offset of the appended entry. */
    Offset offset = 0;
};

/** One entry of the log. */
struct LogEntry {
    Offset offset = 0;
    /** Time of the append by the log's clock, in Unix milliseconds. */
    std::int64_t appendedAtMs = 0;
    std::string bytes;

    auto fields()
    {
        return std::tie(offset, appendedAtMs, bytes);
    }
};

/** The result of a successful read. */
struct LogRead {
    /** Offset of the oldest entry that the log still keeps. */
    Offset head = 0;
    /** Offset after that of the newest entry. */
    Offset end = 0;
    /** Entries from the requested offset, or from head if that is higher; without gaps. */
    std::vector<LogEntry> entries;

    auto fields()
    {
        return std::tie(head, end, entries);
    }
};

/** Parameters of a read. */
struct LogQuery {
    /** First offset to read. */
    Offset from = 0;
    std::uint32_t maxEntries = 512;
    /** The log waits for a new entry until this time, then answers without entries. */
    SteadyTime answerDeadline;
    /** Time until which the caller waits for the answer. */
    SteadyTime deadline;
};

/**
 * Client of the platform's log over HTTP. docs/INTERFACES.md describes the protocol.
 *
 * Created once per process for reading and once for appending, so that a slow append does not delay
 * reads. Keeps a few connections open; one that does not answer in time is closed. Thread-safe.
 */
class HttpLog
{
public:
    explicit HttpLog(Address address);
    ~HttpLog();
    HttpLog(HttpLog &&) noexcept;
    HttpLog &operator=(HttpLog &&) noexcept;

    tl::expected<AppendResult, LogError> append(const std::string &bytes, SteadyTime deadline);
    tl::expected<LogRead, LogError> read(const LogQuery &query);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/** Faults that a MemoryLog simulates. */
struct LogFaults {
    /** Every call fails without effect. */
    bool down = false;
    /** Appends take effect, but their answers are lost. */
    bool loseAppendAnswers = false;
};

/**
 * A log in memory with the behaviour of HttpLog, for the stand-in of the platform and for tests.
 * Thread-safe.
 */
class MemoryLog
{
public:
    /** Keeps at most @p maxEntries entries; older ones are dropped. */
    explicit MemoryLog(std::size_t maxEntries);
    ~MemoryLog();

    tl::expected<AppendResult, LogError> append(const std::string &bytes, SteadyTime deadline);
    tl::expected<LogRead, LogError> read(const LogQuery &query);

    void setFaults(LogFaults faults);
    /** Drops all entries before @p head. */
    void expire(Offset head);
    /** Fails all waiting reads, and all calls from then on. */
    void close();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/** The log used by a process. */
using LogService = std::variant<HttpLog, std::shared_ptr<MemoryLog>>;

/** Appends one entry. Not idempotent: after LogError::Unknown the entry may have been appended. */
tl::expected<AppendResult, LogError> append(LogService &log, const std::string &bytes, SteadyTime deadline);

/** Reads entries. If there are none from query.from on, waits for one until query.answerDeadline. */
tl::expected<LogRead, LogError> read(LogService &log, const LogQuery &query);

}
