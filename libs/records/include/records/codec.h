#pragma once

#include "records/record.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace Cornelquay {

/** Why bytes could not be decoded as a record. */
enum class DecodeError {
    /** The bytes are not a valid record. Readers skip the record. */
    Malformed,
    /** The record was written in a newer format version. The reader must stop folding and making decisions. */
    NewerVersion,
};

/** Version of the record format that this program writes. */
constexpr std::uint32_t RecordVersion = 1;

/** The largest encoded record that decode() accepts, in bytes. */
constexpr std::size_t MaxRecordBytes = 5ULL * 1024 * 1024;

/**
 * Encodes @p record as MessagePack, as it is stored in the log. Thread-safe.
 *
 * @code
 * const std::string bytes = encode({newRecordId(), "nuala", "lost laptop", KeyWithdrawn{"k1"}});
 * const auto record = decode(bytes);
 * @endcode
 */
std::string encode(const Record &record);

/**
 * Decodes bytes written by encode(). The input is untrusted: its size and nesting depth are bounded,
 * and malformed input is reported as DecodeError, never as an exception. Thread-safe.
 */
tl::expected<Record, DecodeError> decode(std::string_view bytes);

}
