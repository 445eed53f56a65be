#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Cornelquay {

// Header names of the HTTP protocol between nodes and workers, which docs/INTERFACES.md describes.

namespace TaskHeader {
constexpr const char *TaskId = "Task-Id";
constexpr const char *RequestId = "Request-Id";
constexpr const char *Team = "Team";
constexpr const char *Service = "Service";
constexpr const char *LeaseUntil = "Lease-Until";
constexpr const char *WorkerIncarnation = "Worker-Incarnation";
constexpr const char *TaskState = "Task-State";
constexpr const char *SlotsFree = "Slots-Free";
constexpr const char *ContentDigest = "Content-Digest";
}

/** State of a task as its worker reports it. */
enum class TaskState {
    /** Not started; it may start later. */
    NotStarted,
    /** Not started, and never will be on this worker. */
    Fenced,
    Running,
    Finished,
    /** Ended with an error. */
    Failed,
    /** Started, and stopped before its end. */
    Stopped,
};

/** The name of @p state in the protocol. */
std::string_view toName(TaskState state);
/** The state with this name; nothing if there is none. */
std::optional<TaskState> parseTaskState(std::string_view name);

/** The value of the Content-Digest header for @p body (SHA-256, RFC 9530). Throws std::runtime_error if OpenSSL provides no SHA-256. */
std::string contentDigest(std::string_view body);

}
