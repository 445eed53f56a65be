#include "details/recordparts.h"

#include "records/packing.h"

#include <algorithm>
#include <tuple>

namespace Cornelquay {

namespace {

// MessagePack never uses this byte, so no value begins with it.
constexpr char HeaderMark = '\xC1';
// Separates the key of a value from the number of a part. Other keys do not contain it.
constexpr char PartSeparator = '#';
// A key has one byte of length before it and at most 255 bytes.
constexpr std::size_t MaxKeyBytes = 256;

/** What the record under the key of a value contains if the value is in parts. */
struct PartsHeader {
    std::uint64_t parts = 0;
    /** Of the value. */
    std::uint64_t bytes = 0;

    auto fields()
    {
        return std::tie(parts, bytes);
    }
};

std::string partKey(const std::string &key, std::size_t number)
{
    return key + PartSeparator + std::to_string(number);
}

}

RecordParts::RecordParts(std::size_t maxRecordBytes)
    : m_maxPartBytes(std::max(maxRecordBytes, 2 * MaxKeyBytes) - MaxKeyBytes)
{
}

std::vector<StoredRecord> RecordParts::split(const std::string &key, std::string value, std::vector<std::string> &obsolete)
{
    const std::size_t parts = value.size() <= m_maxPartBytes ? 0 : (value.size() + m_maxPartBytes - 1) / m_maxPartBytes;
    const auto former = m_partCounts.find(key);
    const std::size_t formerParts = former == m_partCounts.end() ? 0 : former->second;
    for (std::size_t number = parts; number < formerParts; ++number) {
        obsolete.push_back(partKey(key, number));
    }
    std::vector<StoredRecord> records;
    if (parts == 0) {
        m_partCounts.erase(key);
        records.emplace_back(key, std::move(value));
        return records;
    }
    m_partCounts[key] = parts;
    records.emplace_back(key, HeaderMark + Packing::toBytes(PartsHeader{parts, value.size()}));
    for (std::size_t number = 0; number < parts; ++number) {
        records.emplace_back(partKey(key, number), value.substr(number * m_maxPartBytes, m_maxPartBytes));
    }
    return records;
}

void RecordParts::remove(const std::string &key, std::vector<std::string> &obsolete)
{
    const auto former = m_partCounts.find(key);
    if (former == m_partCounts.end()) {
        return;
    }
    for (std::size_t number = 0; number < former->second; ++number) {
        obsolete.push_back(partKey(key, number));
    }
    m_partCounts.erase(former);
}

void RecordParts::forget()
{
    m_partCounts.clear();
}

std::optional<std::string> RecordParts::addRead(const std::string &key, std::string value)
{
    if (valueKeyOf(key).size() != key.size()) {
        m_readParts.insert_or_assign(key, std::move(value));
        return std::nullopt;
    }
    if (!value.empty() && value.front() == HeaderMark) {
        m_readHeaders.insert_or_assign(key, std::move(value));
        return std::nullopt;
    }
    return value;
}

std::vector<std::pair<std::string, std::optional<std::string>>> RecordParts::takeJoined()
{
    std::vector<std::pair<std::string, std::optional<std::string>>> values;
    for (const auto &[key, bytes] : m_readHeaders) {
        const std::optional<PartsHeader> header = Packing::fromBytes<PartsHeader>(std::string_view(bytes).substr(1));
        std::string value;
        std::size_t number = 0;
        for (auto part = m_readParts.end(); header && number < header->parts; ++number) {
            part = m_readParts.find(partKey(key, number));
            if (part == m_readParts.end()) {
                break;
            }
            value += part->second;
        }
        const bool isWhole = header && number == header->parts && value.size() == header->bytes;
        // Parts of an unreadable value are replaced or removed together with it.
        m_partCounts[key] = header ? header->parts : 0;
        values.emplace_back(key, isWhole ? std::optional(std::move(value)) : std::nullopt);
    }
    m_readHeaders.clear();
    m_readParts.clear();
    return values;
}

std::string_view RecordParts::valueKeyOf(std::string_view key)
{
    return key.substr(0, key.find(PartSeparator));
}

}
