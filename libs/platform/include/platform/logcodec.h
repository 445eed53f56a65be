#pragma once

#include "platform/logservice.h"

#include <optional>
#include <string>

namespace Cornelquay {

/** The MessagePack body of the answer to a read. */
std::string encodeLogRead(const LogRead &read);

/** Reverses encodeLogRead(); nothing if @p bytes are malformed or the entries have gaps. */
std::optional<LogRead> decodeLogRead(std::string_view bytes);

}
