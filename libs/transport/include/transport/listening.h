#pragma once

#include "transport/address.h"

#include <asio/ip/tcp.hpp>

namespace Cornelquay {

/**
 * Makes @p acceptor listen on @p address, where an earlier process may still have connections.
 * @p backlog is the number of connections that may wait to be accepted.
 */
asio::error_code listenOn(asio::ip::tcp::acceptor &acceptor, const Address &address, int backlog);

}
