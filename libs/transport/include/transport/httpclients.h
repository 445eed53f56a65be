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

/** Whether a connection may be one that served an earlier call. */
enum class Reuse {
    Allowed,
    /** Only a connection opened now: for finding out whether an older one went silent. */
    Never,
};

/**
 * HTTP connections to one address, at most a fixed number at once.
 *
 * A call takes one out, and gives it back only after a whole and matching answer, so that no late
 * answer is ever taken for the next one's; a client that is not given back is closed. Thread-safe.
 *
 * @code
 * HttpClients clients(address, 64);
 * HttpClients::Lease client = clients.take(deadline, Reuse::Allowed);
 * if (client) { ...client->Get("/health")...; clients.giveBack(std::move(client)); }
 * @endcode
 */
class HttpClients
{
public:
    /** Counts a taken client until it is given back or destroyed. */
    class Closer
    {
    public:
        explicit Closer(HttpClients *owner = nullptr);
        void operator()(httplib::Client *client) const;

    private:
        HttpClients *m_owner;
    };
    using Lease = std::unique_ptr<httplib::Client, Closer>;

    HttpClients(Address address, std::size_t connectionsMax);
    ~HttpClients();
    HttpClients(const HttpClients &) = delete;
    HttpClients &operator=(const HttpClients &) = delete;

    /** A client whose connect, read and write time out by @p deadline; null if all are in use. */
    Lease take(SteadyTime deadline, Reuse reuse = Reuse::Allowed);
    void giveBack(Lease client);

    /** Closes all idle connections. */
    void closeIdle();

private:
    void closed();

    const Address m_address;
    const std::size_t m_connectionsMax;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<httplib::Client, Closer>> m_idle;
    std::size_t m_open = 0;
};

/** Whether the request of a failed call provably never reached the other side. */
bool isNotSent(httplib::Error error);

}
