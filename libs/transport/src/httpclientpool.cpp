#include "transport/httpclientpool.h"

#include <httplib.h>

namespace Cornelquay {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout{1000};

}

HttpClientPool::Deleter::Deleter(HttpClientPool *owner)
    : m_owner(owner)
{
}

void HttpClientPool::Deleter::operator()(httplib::Client *client) const
{
    std::default_delete<httplib::Client>()(client);
    if (m_owner != nullptr) {
        m_owner->onClientDeleted();
    }
}

HttpClientPool::HttpClientPool(Address address, std::size_t maxConnections)
    : m_address(std::move(address))
    , m_maxConnections(maxConnections)
{
}

HttpClientPool::~HttpClientPool()
{
    closeIdle();
}

HttpClientPool::ClientHandle HttpClientPool::take(SteadyTime deadline, ConnectionReuse reuse)
{
    ClientHandle client(nullptr, Deleter(this));
    // With ConnectionReuse::Never an idle connection is closed to keep within the limit.
    ClientHandle discarded(nullptr, Deleter(this));
    {
        const std::lock_guard lock(m_mutex);
        if (!m_idle.empty()) {
            (reuse == ConnectionReuse::Allowed ? client : discarded) = std::move(m_idle.back());
            m_idle.pop_back();
        }
        if (!client && !discarded && m_openCount >= m_maxConnections) {
            return client;
        }
        m_openCount += client ? 0 : 1;
    }
    if (!client) {
        client.reset(new httplib::Client(m_address.host, m_address.port));
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
    }
    const auto timeLeft = std::max(std::chrono::milliseconds(1), remaining(deadline, steadyNow()));
    client->set_connection_timeout(std::min(timeLeft, ConnectTimeout));
    client->set_read_timeout(timeLeft);
    client->set_write_timeout(timeLeft);
    return client;
}

void HttpClientPool::giveBack(ClientHandle client)
{
    const std::lock_guard lock(m_mutex);
    m_idle.push_back(std::move(client));
}

void HttpClientPool::closeIdle()
{
    std::vector<ClientHandle> idle;
    {
        const std::lock_guard lock(m_mutex);
        idle.swap(m_idle);
    }
    idle.clear();
}

void HttpClientPool::onClientDeleted()
{
    const std::lock_guard lock(m_mutex);
    m_openCount -= 1;
}

bool isNotSent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout || error == httplib::Error::BindIPAddress;
}

}
