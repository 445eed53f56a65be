#include "transport/httpclients.h"

#include <httplib.h>

namespace Cornelquay {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout{1000};

}

HttpClients::Closer::Closer(HttpClients *owner)
    : m_owner(owner)
{
}

void HttpClients::Closer::operator()(httplib::Client *client) const
{
    std::default_delete<httplib::Client>()(client);
    if (m_owner != nullptr) {
        m_owner->closed();
    }
}

HttpClients::HttpClients(Address address, std::size_t connectionsMax)
    : m_address(std::move(address))
    , m_connectionsMax(connectionsMax)
{
}

HttpClients::~HttpClients()
{
    closeIdle();
}

HttpClients::Lease HttpClients::take(SteadyTime deadline, Reuse reuse)
{
    Lease client(nullptr, Closer(this));
    Lease surplus(nullptr, Closer(this));
    {
        const std::lock_guard lock(m_mutex);
        if (!m_idle.empty()) {
            (reuse == Reuse::Allowed ? client : surplus) = std::move(m_idle.back());
            m_idle.pop_back();
        }
        if (!client && !surplus && m_open >= m_connectionsMax) {
            return client;
        }
        m_open += client ? 0 : 1;
    }
    if (!client) {
        client.reset(new httplib::Client(m_address.host, m_address.port));
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
    }
    const auto left = std::max(std::chrono::milliseconds(1), remaining(deadline, steadyNow()));
    client->set_connection_timeout(std::min(left, ConnectTimeout));
    client->set_read_timeout(left);
    client->set_write_timeout(left);
    return client;
}

void HttpClients::giveBack(Lease client)
{
    const std::lock_guard lock(m_mutex);
    m_idle.push_back(std::move(client));
}

void HttpClients::closeIdle()
{
    std::vector<Lease> idle;
    {
        const std::lock_guard lock(m_mutex);
        idle.swap(m_idle);
    }
    idle.clear();
}

void HttpClients::closed()
{
    const std::lock_guard lock(m_mutex);
    m_open -= 1;
}

bool isNotSent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout || error == httplib::Error::BindIPAddress;
}

}
