#include "platform/logcodec.h"

#include "records/packing.h"

namespace Cornelquay {

namespace {

struct WireEntry {
    Offset offset = 0;
    std::int64_t appendedAt = 0;
    std::string bytes;

    auto fields()
    {
        return std::tie(offset, appendedAt, bytes);
    }
};

struct WireRead {
    Offset head = 0;
    Offset end = 0;
    std::vector<WireEntry> entries;

    auto fields()
    {
        return std::tie(head, end, entries);
    }
};

}

std::string encodeLogRead(const LogRead &read)
{
    WireRead wire{read.head, read.end, {}};
    for (const LogEntry &entry : read.entries) {
        wire.entries.push_back({entry.offset, entry.appendedAt, entry.bytes});
    }
    return Packing::toBytes(wire);
}

std::optional<LogRead> decodeLogRead(std::string_view bytes)
{
    std::optional<WireRead> wire = Packing::fromBytes<WireRead>(bytes);
    if (!wire) {
        return std::nullopt;
    }
    LogRead read{wire->head, wire->end, {}};
    for (WireEntry &entry : wire->entries) {
        if (!read.entries.empty() && entry.offset != read.entries.back().offset + 1) {
            return std::nullopt;
        }
        read.entries.push_back({entry.offset, entry.appendedAt, std::move(entry.bytes)});
    }
    return read;
}

}
