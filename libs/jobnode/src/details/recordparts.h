#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Cornelquay {

/** A key of the store with its value. */
using StoredRecord = std::pair<std::string, std::string>;

/**
 * Stores values that are too large for one record of the store in several: a header under the key itself and parts under keys that
 * are derived from it. The records of one value must be appended by one call, so that they always belong together. Values that fit
 * are stored unchanged. Not thread-safe.
 */
class RecordParts
{
public:
    /** @p maxRecordBytes is the store's limit for a record, which includes its key. */
    explicit RecordParts(std::size_t maxRecordBytes);

    // Commands: writing.
    /** The records to append for @p value. Adds the keys of former parts of @p key that are not needed any more to @p obsolete. */
    std::vector<StoredRecord> split(const std::string &key, std::string value, std::vector<std::string> &obsolete);
    /** The value of @p key is removed. Adds the keys of its parts to @p obsolete. */
    void remove(const std::string &key, std::vector<std::string> &obsolete);
    /** The values will be written anew to another partition. */
    void forget();

    // Commands: reading. Records may be read in any order.
    /** Takes a record that was read. Returns its value, or std::nullopt if it is a header or a part. */
    std::optional<std::string> addRead(const std::string &key, std::string value);
    /** The values of all headers, once all records have been read; std::nullopt for those that lack a part. */
    std::vector<std::pair<std::string, std::optional<std::string>>> takeJoined();

    // Queries.
    /** The key of the value to which the record with @p key belongs. */
    static std::string_view valueKeyOf(std::string_view key);

private:
    const std::size_t m_maxPartBytes;
    /** The number of parts of each value that has some. */
    std::map<std::string, std::size_t> m_partCounts;
    std::map<std::string, std::string> m_readHeaders;
    std::map<std::string, std::string> m_readParts;
};

}
