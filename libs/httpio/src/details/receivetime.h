#pragma once

#include "timing/instant.h"

#include <asio/ip/tcp.hpp>

namespace Cornelquay::Details {

/**
 * When the kernel received the newest bytes of the connection, to some milliseconds. Earlier than now if this process did not read for a
 * while, for instance because it was suspended. Returns the present time if the kernel does not tell. Thread-safe.
 */
BootTime lastReceivedAt(asio::ip::tcp::socket &socket);

}
