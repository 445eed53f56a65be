#include "details/recovery.h"

#include "fleet/snapshot.h"
#include "records/codec.h"

#include <algorithm>

namespace Cornelquay::Details {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t PageEntries = 256;
constexpr auto ReadTimeout = 5s;

/** Logs shorter than this are folded from their start without looking for a snapshot. */
constexpr Offset ShortLogRecords = 1000;

tl::expected<LogRead, LogError> readNow(LogService &log, Offset from, std::uint32_t entriesMax)
{
    const SteadyTime now = steadyNow();
    return read(log, {from, entriesMax, now, now + ReadTimeout});
}

/** Reads [from, to) and feeds its chunks; the first snapshot that becomes whole is the result. */
tl::expected<std::optional<std::string>, LogError> scanPage(LogService &log, Offset from, Offset to, SnapshotAssembler &assembler)
{
    while (from < to) {
        const auto page = readNow(log, from, static_cast<std::uint32_t>(to - from));
        if (!page) {
            return tl::make_unexpected(page.error());
        }
        if (page->entries.empty()) {
            return std::nullopt;
        }
        for (const LogEntry &entry : page->entries) {
            const auto record = decode(entry.bytes);
            const auto *chunk = record ? std::get_if<SnapshotChunk>(&record->body) : nullptr;
            if (chunk == nullptr || entry.offset >= to) {
                continue;
            }
            if (std::optional<std::string> whole = assembler.add(*chunk)) {
                return whole;
            }
        }
        from = page->entries.back().offset + 1;
    }
    return std::nullopt;
}

RecoveryResult fromSnapshot(LogService &log, Offset head, Offset end, const std::atomic<bool> &stopping)
{
    SnapshotAssembler assembler;
    Offset to = end;
    while (to > head && !stopping) {
        const Offset from = to - std::min<Offset>(PageEntries, to - head);
        const auto whole = scanPage(log, from, to, assembler);
        if (!whole) {
            return RecoveryUnavailable{};
        }
        if (whole->has_value()) {
            auto state = deserialize(**whole);
            if (state && state->next >= head) {
                return Recovered{std::move(*state)};
            }
            return RecoveryImpossible{};
        }
        to = from;
    }
    return RecoveryImpossible{};
}

}

RecoveryResult recover(LogService &log, const std::atomic<bool> &stopping)
{
    const auto first = readNow(log, 0, 1);
    if (!first) {
        return RecoveryUnavailable{};
    }
    if (first->head == 0 && first->end <= ShortLogRecords) {
        return Recovered{};
    }
    RecoveryResult result = fromSnapshot(log, first->head, first->end, stopping);
    if (std::holds_alternative<RecoveryImpossible>(result) && first->head == 0) {
        return Recovered{};
    }
    return result;
}

}
