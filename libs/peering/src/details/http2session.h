#pragma once

#include <asio.hpp>
#include <nghttp2/nghttp2.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace Cornelquay::Details {

/** Largest message that a session accepts from the other side; a longer one closes the connection. */
constexpr std::size_t MaxMessageBytes = 4ULL * 1024 * 1024;

/**
 * One HTTP/2 connection that carries messages as streams: a request body one way, a reply body
 * the other way. Drives an nghttp2 session over an Asio socket.
 *
 * Used from the thread of its io_context only. Pending reads and writes keep the object alive until
 * close().
 */
class Http2Session : public std::enable_shared_from_this<Http2Session>
{
public:
    enum class Role {
        /** Opened the connection and sends requests. */
        Client,
        /** Accepted the connection and answers requests. */
        Server,
    };
    /** Called with the reply's body, or nothing if the stream or the connection ended first. */
    using ReplyHandler = std::function<void(std::optional<std::string> reply)>;
    /** Sends the reply to one request; an empty optional terminates the session. Called on the session's thread. */
    using Responder = std::function<void(std::optional<std::string> reply)>;
    using RequestHandler = std::function<void(const std::string &path, const std::string &body, Responder respond)>;

    /** @p wireBytes counts the bytes sent and received, and must outlive the session. */
    Http2Session(asio::ip::tcp::socket socket, Role role, std::atomic<std::uint64_t> &wireBytes, RequestHandler onRequest, std::function<void()> onClosed);
    ~Http2Session();
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;

    void start();
    /** Sends one request; @p onReply is called exactly once. Client only. */
    void request(const std::string &path, std::string body, ReplyHandler onReply);
    /** Ends the connection; the handlers of pending requests are called with nothing. */
    void close();
    bool isClosed() const;

private:
    /** One request and its reply. */
    struct Stream {
        std::string path;
        std::string received;
        std::string outgoing;
        /** Bytes of outgoing already given to nghttp2. */
        std::size_t sent = 0;
        ReplyHandler onReply;
    };

    void createSession();
    void read();
    void flush();
    void submitSettings();
    void handleRequest(std::int32_t streamId);
    void respond(std::int32_t streamId, std::optional<std::string> reply);

    static ssize_t provideOutgoing(
        nghttp2_session *, std::int32_t streamId, std::uint8_t *buffer, std::size_t length, std::uint32_t *flags, nghttp2_data_source *source, void *self);
    static int onHeader(nghttp2_session *,
                        const nghttp2_frame *frame,
                        const std::uint8_t *name,
                        std::size_t nameLength,
                        const std::uint8_t *value,
                        std::size_t valueLength,
                        std::uint8_t,
                        void *self);
    static int onData(nghttp2_session *, std::uint8_t, std::int32_t streamId, const std::uint8_t *data, std::size_t length, void *self);
    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *self);
    static int onStreamClosed(nghttp2_session *, std::int32_t streamId, std::uint32_t errorCode, void *self);

    asio::ip::tcp::socket m_socket;
    const Role m_role;
    std::atomic<std::uint64_t> &m_wireBytes;
    const RequestHandler m_onRequest;
    std::function<void()> m_onClosed;
    nghttp2_session *m_session = nullptr;
    std::unordered_map<std::int32_t, Stream> m_streams;
    std::array<std::uint8_t, 16384> m_readBuffer{};
    std::string m_writeBuffer;
    bool m_writing = false;
    /** Whether nghttp2 is on the call stack; it must not be entered again from its own callbacks. */
    bool m_insideNghttp2 = false;
    bool m_closed = false;
};

}
