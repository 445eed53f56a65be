#include "transport/listening.h"

namespace Cornelquay {

asio::error_code listenOn(asio::ip::tcp::acceptor &acceptor, const Address &address, int backlog)
{
    asio::error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.host, error), address.port);
    if (!error) {
        acceptor.open(endpoint.protocol(), error);
    }
    if (!error) {
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(backlog, error);
    }
    return error;
}

}
