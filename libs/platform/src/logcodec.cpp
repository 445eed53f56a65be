#include "platform/logcodec.h"

#include "records/packing.h"

namespace Cornelquay {

std::string encodeLogRead(const LogRead &read)
{
    return Packing::toBytes(read);
}

std::optional<LogRead> decodeLogRead(std::string_view bytes)
{
    std::optional<LogRead> read = Packing::fromBytes<LogRead>(bytes);
    if (!read) {
        return std::nullopt;
    }
    for (std::size_t index = 1; index < read->entries.size(); ++index) {
        if (read->entries[index].offset != read->entries[index - 1].offset + 1) {
            return std::nullopt;
        }
    }
    return read;
}

}
