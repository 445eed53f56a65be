#pragma once

#include "records/record.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace Cornelquay {

/** Why bytes are not a record. */
enum class DecodeError {
    /** Not in the format at all; the record is skipped. */
    Malformed,
    /** Written by a newer program; the reader must stop deciding. */
    NewerVersion,
};

/** Version of the record format that this program writes. */
constexpr std::uint32_t RecordVersion = 1;

/** Longest encoded record, in bytes. */
constexpr std::size_t RecordBytesMax = 5ULL * 1024 * 1024;

/** The bytes of @p record as they lie in the log. Thread-safe. */
std::string encode(const Record &record);

/** Reads what encode() wrote. Input is not trusted: sizes and depth are bounded. Thread-safe. */
tl::expected<Record, DecodeError> decode(std::string_view bytes);

}
