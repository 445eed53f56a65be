#include "details/receivetime.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>
#include <cstddef>

namespace Cornelquay::Details {

BootTime lastReceivedAt(asio::ip::tcp::socket &socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    const bool isKnown = getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0
        && size >= offsetof(tcp_info, tcpi_last_data_recv) + sizeof(info.tcpi_last_data_recv);
    return BootClock::now() - std::chrono::milliseconds(isKnown ? info.tcpi_last_data_recv : 0);
}

}
