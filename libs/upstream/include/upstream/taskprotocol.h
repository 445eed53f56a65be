#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Cornelquay {

// Names of the protocol towards workers; docs/INTERFACES.md describes it.

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

/** What a worker knows of a task. */
enum class TaskState {
    /** It never started; it may still. */
    NotStarted,
    /** It never started and never will on this worker. */
    Fenced,
    Running,
    Finished,
    /** It ran and ended with an error. */
    Failed,
    /** It had started and was stopped. */
    Stopped,
};

std::string_view toName(TaskState state);
std::optional<TaskState> parseTaskState(std::string_view name);

/** The value of the Content-Digest header for @p body (SHA-256, RFC 9530). */
std::string contentDigest(std::string_view body);

}
