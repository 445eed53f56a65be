#include "details/httpserver.h"

namespace Cornelquay::Details {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t MaxRequestsPerConnection = 100000;
constexpr time_t KeepAliveTimeoutSeconds = 2;
constexpr auto ReadTimeout = 5s;
constexpr auto WriteTimeout = 10s;

}

HttpServer::HttpServer(const ListenerSettings &settings)
    : m_settings(settings)
{
    if (m_settings.tls.certificate.empty()) {
        m_server = std::make_unique<httplib::Server>();
    } else {
        m_certificate = std::make_unique<Certificate>(m_settings.tls);
        m_server = std::make_unique<httplib::SSLServer>([this](SSL_CTX &context) {
            m_certificate->installInto(context);
            return m_certificate->isUsable();
        });
    }
    if (!m_server->is_valid()) {
        return;
    }
    m_server->new_task_queue = [threads = settings.threads] {
        return new httplib::ThreadPool(threads);
    };
    m_server->set_keep_alive_max_count(MaxRequestsPerConnection);
    m_server->set_keep_alive_timeout(KeepAliveTimeoutSeconds);
    m_server->set_read_timeout(ReadTimeout);
    m_server->set_write_timeout(WriteTimeout);
    m_server->set_tcp_nodelay(true);
    // Replaces the library's default options, which set SO_REUSEPORT: several processes could then bind
    // the same port, and a wrong setting would go unnoticed.
    m_server->set_socket_options([](socket_t socket) {
        const int enabled = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    });
    if (settings.address.port == 0) {
        m_port = m_server->bind_to_any_port(settings.address.host);
    } else if (m_server->bind_to_port(settings.address.host, settings.address.port)) {
        m_port = settings.address.port;
    }
}

HttpServer::~HttpServer()
{
    stop();
}

httplib::Server &HttpServer::server()
{
    return *m_server;
}

bool HttpServer::isBound() const
{
    return m_port > 0;
}

std::uint16_t HttpServer::port() const
{
    return static_cast<std::uint16_t>(m_port);
}

void HttpServer::start()
{
    m_listener = std::thread([this] {
        m_server->listen_after_bind();
    });
    while (!m_server->is_running()) {
        std::this_thread::yield();
    }
}

void HttpServer::beginDrain()
{
    m_draining = true;
}

bool HttpServer::isDraining() const
{
    return m_draining;
}

void HttpServer::stop()
{
    if (m_listener.joinable()) {
        m_server->stop();
        m_listener.join();
    }
}

}
