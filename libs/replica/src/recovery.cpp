#include "details/recovery.h"

#include "fleet/snapshot.h"
#include "records/codec.h"

#include <algorithm>

namespace Cornelquay::Details {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t EntriesPerPage = 256;
constexpr auto ReadTimeout = 5s;

/** Logs up to this length are folded from their start, without a search for a snapshot. */
constexpr Offset MaxRecordsWithoutSnapshot = 1000;

tl::expected<LogRead, LogError> readEntries(LogService &log, Offset from, std::uint32_t maxEntries)
{
    const SteadyTime now = steadyNow();
    return read(log, {from, maxEntries, now, now + ReadTimeout});
}

/** Reads the entries in [from, to) and adds their chunks to @p assembler. Returns the first snapshot that becomes complete. */
tl::expected<std::optional<std::string>, LogError> scanPage(LogService &log, Offset from, Offset to, SnapshotAssembler &assembler)
{
    while (from < to) {
        const auto page = readEntries(log, from, static_cast<std::uint32_t>(to - from));
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
            if (std::optional<std::string> snapshotBytes = assembler.add(*chunk)) {
                return snapshotBytes;
            }
        }
        from = page->entries.back().offset + 1;
    }
    return std::nullopt;
}

RecoveryResult recoverFromSnapshot(LogService &log, Offset head, Offset end, const std::atomic<bool> &stopping)
{
    SnapshotAssembler assembler;
    Offset to = end;
    while (to > head && !stopping) {
        const Offset from = to - std::min<Offset>(EntriesPerPage, to - head);
        const auto snapshotBytes = scanPage(log, from, to, assembler);
        if (!snapshotBytes) {
            return RecoveryUnavailable{};
        }
        if (snapshotBytes->has_value()) {
            auto state = deserialize(**snapshotBytes);
            if (state && state->nextOffset >= head) {
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
    const auto first = readEntries(log, 0, 1);
    if (!first) {
        return RecoveryUnavailable{};
    }
    if (first->head == 0 && first->end <= MaxRecordsWithoutSnapshot) {
        return Recovered{};
    }
    RecoveryResult result = recoverFromSnapshot(log, first->head, first->end, stopping);
    if (std::holds_alternative<RecoveryImpossible>(result) && first->head == 0) {
        return Recovered{};
    }
    return result;
}

}
