#pragma once

#include "transport/address.h"

#include <asio/ip/tcp.hpp>

namespace Cornelquay {

/**
 * Opens, binds and starts @p acceptor on @p address, with address reuse, so that a restarted process
 * can listen while connections of its predecessor still exist. @p backlog is the number of
 * connections that may wait to be accepted. Returns the first error.
 */
asio::error_code listenOn(asio::ip::tcp::acceptor &acceptor, const Address &address, int backlog);

}
