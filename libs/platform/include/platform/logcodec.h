#pragma once

#include "platform/logservice.h"

#include <optional>
#include <string>

namespace Cornelquay {

/** The body of an answer to a read, as it crosses the wire (MessagePack). */
std::string encodeLogRead(const LogRead &read);

/** Reads what encodeLogRead() wrote; nothing if it is malformed or has gaps. */
std::optional<LogRead> decodeLogRead(std::string_view bytes);

}
