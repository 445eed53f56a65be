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

/** What is known after a call to the log failed. */
enum class LogError {
    /** The call provably had no effect. */
    NotDone,
    /** The call may have taken effect; its answer is lost. */
    Unknown,
};

/** Where an append ended up. */
struct Appended {
    Offset offset = 0;
};

/** One entry as the log keeps it. */
struct LogEntry {
    Offset offset = 0;
    /** The log's own time at the append, Unix milliseconds. */
    std::int64_t appendedAt = 0;
    std::string bytes;

    auto fields()
    {
        return std::tie(offset, appendedAt, bytes);
    }
};

/** An answer to a read. */
struct LogRead {
    /** Oldest offset that the log still keeps. */
    Offset head = 0;
    /** One past the newest offset. */
    Offset end = 0;
    /** Entries from the offset asked for, or from head if that is later; without gaps. */
    std::vector<LogEntry> entries;

    auto fields()
    {
        return std::tie(head, end, entries);
    }
};

/** What to read. */
struct LogQuery {
    Offset from = 0;
    std::uint32_t entriesMax = 512;
    /** Latest time at which the log answers although it has nothing new. */
    SteadyTime answerBy;
    /** Latest time until which the caller waits for the answer. */
    SteadyTime deadline;
};

/**
 * The platform's log, reached over HTTP as docs/INTERFACES.md describes it.
 *
 * Created once per process for reading and once for appending, so that a slow append never holds
 * up the reader. Keeps a few connections; one that does not answer in time is closed. Thread-safe.
 */
class HttpLog
{
public:
    explicit HttpLog(Address address);
    ~HttpLog();
    HttpLog(HttpLog &&) noexcept;
    HttpLog &operator=(HttpLog &&) noexcept;

    tl::expected<Appended, LogError> append(const std::string &bytes, SteadyTime deadline);
    tl::expected<LogRead, LogError> read(const LogQuery &query);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/** Faults that a MemoryLog shows. */
struct LogFaults {
    /** Every call fails without effect. */
    bool down = false;
    /** Appends take effect, but their answers are lost. */
    bool loseAppendAnswers = false;
};

/**
 * A log in memory with the same contract: the engine of the stand-in, and the fake in tests.
 * Thread-safe.
 */
class MemoryLog
{
public:
    /** Keeps at most @p entriesMax entries; older ones are dropped. */
    explicit MemoryLog(std::size_t entriesMax);
    ~MemoryLog();

    tl::expected<Appended, LogError> append(const std::string &bytes, SteadyTime deadline);
    tl::expected<LogRead, LogError> read(const LogQuery &query);

    void setFaults(LogFaults faults);
    /** Drops all entries before @p head. */
    void expire(Offset head);
    /** Wakes up and fails all waiting reads; the log is down from then on. */
    void close();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/** The log that a process uses. */
using LogService = std::variant<HttpLog, std::shared_ptr<MemoryLog>>;

/** Appends one entry. Not idempotent: after LogError::Unknown the entry may be there. */
tl::expected<Appended, LogError> append(LogService &log, const std::string &bytes, SteadyTime deadline);

/** Reads entries; waits for new ones until the query's answerBy. */
tl::expected<LogRead, LogError> read(LogService &log, const LogQuery &query);

}
