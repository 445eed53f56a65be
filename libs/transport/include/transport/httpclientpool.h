#pragma once

#include "timing/instant.h"
#include "transport/address.h"

#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

namespace httplib {
class Client;
enum class Error;
}

namespace Cornelquay {

/** Whether a call may use a connection that served an earlier one. */
enum class ConnectionReuse {
    Allowed,
    /** Only a new connection, because an older one may have stopped answering. */
    Never,
};

/**
 * A pool of HTTP connections to one address, limited in number.
 *
 * A caller takes a connection, and gives it back only after a complete and matching answer, so that
 * a late answer is never mistaken for that of the next request. A connection that is not given back
 * is closed. The pool must outlive the connections taken from it. Thread-safe.
 *
 * @code
 * HttpClientPool clients(address, 64);
 * HttpClientPool::ClientHandle client = clients.take(deadline, ConnectionReuse::Allowed);
 * if (client) { ...client->Get("/health")...; clients.giveBack(std::move(client)); }
 * @endcode
 */
class HttpClientPool
{
public:
    /** Deletes a client and removes it from the count of open connections. */
    class Deleter
    {
    public:
        explicit Deleter(HttpClientPool *owner = nullptr);
        void operator()(httplib::Client *client) const;

    private:
        HttpClientPool *m_owner;
    };
    using ClientHandle = std::unique_ptr<httplib::Client, Deleter>;

    HttpClientPool(Address address, std::size_t maxConnections);
    ~HttpClientPool();
    HttpClientPool(const HttpClientPool &) = delete;
    HttpClientPool &operator=(const HttpClientPool &) = delete;

    /**
     * A client whose connect, read and write each time out after the time left until @p deadline, at
     * least 1 ms; null if the maximum number of connections is in use.
     */
    ClientHandle take(SteadyTime deadline, ConnectionReuse reuse = ConnectionReuse::Allowed);
    /** Keeps the connection of @p client open for a later take(). */
    void giveBack(ClientHandle client);

    /** Closes all connections that are not taken. */
    void closeIdle();

private:
    void onClientDeleted();

    const Address m_address;
    const std::size_t m_maxConnections;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<httplib::Client, Deleter>> m_idle;
    /** Open connections, taken and idle. */
    std::size_t m_openCount = 0;
};

/** Whether @p error means that the request certainly did not reach the server. */
bool isNotSent(httplib::Error error);

}
