#include "details/http2session.h"

#include <algorithm>
#include <cstring>

namespace Cornelquay::Details {

namespace {

constexpr std::uint32_t MaxConcurrentStreams = 512;
constexpr std::int32_t FlowControlWindowBytes = 1 << 20;

nghttp2_nv header(const char *name, const std::string &value)
{
    // nghttp2 copies names and values; its structure is not const-correct.
    return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name)), // NOLINT(cppcoreguidelines-pro-type-const-cast)
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())), // NOLINT(cppcoreguidelines-pro-type-const-cast)
            std::strlen(name),
            value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

bool isEndOfRequest(const nghttp2_frame *frame)
{
    const bool carriesStream = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    return carriesStream && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
}

}

Http2Session::Http2Session(
    asio::ip::tcp::socket socket, Role role, std::atomic<std::uint64_t> &wireBytes, RequestHandler onRequest, std::function<void()> onClosed)
    : m_socket(std::move(socket))
    , m_role(role)
    , m_wireBytes(wireBytes)
    , m_onRequest(std::move(onRequest))
    , m_onClosed(std::move(onClosed))
{
    createSession();
}

Http2Session::~Http2Session()
{
    nghttp2_session_del(m_session);
}

void Http2Session::createSession()
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &Http2Session::onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &Http2Session::onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &Http2Session::onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &Http2Session::onStreamClosed);
    if (m_role == Role::Client) {
        nghttp2_session_client_new(&m_session, callbacks, this);
    } else {
        nghttp2_session_server_new(&m_session, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
}

void Http2Session::start()
{
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    submitSettings();
    flush();
    read();
}

void Http2Session::submitSettings()
{
    const nghttp2_settings_entry entries[] = {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxConcurrentStreams},
                                              {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(FlowControlWindowBytes)},
                                              {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
    const std::size_t count = m_role == Role::Client ? 3 : 2;
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, entries, count);
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, FlowControlWindowBytes);
}

void Http2Session::request(const std::string &path, std::string body, ReplyHandler onReply)
{
    if (m_closed) {
        onReply(std::nullopt);
        return;
    }
    const std::string method = "POST";
    const std::string scheme = "http";
    const std::string authority = "peer";
    const nghttp2_nv headers[] = {header(":method", method), header(":scheme", scheme), header(":authority", authority), header(":path", path)};
    nghttp2_data_provider provider{};
    provider.read_callback = &Http2Session::provideOutgoing;
    const std::int32_t streamId = nghttp2_submit_request(m_session, nullptr, headers, std::size(headers), &provider, nullptr);
    if (streamId < 0) {
        onReply(std::nullopt);
        close();
        return;
    }
    Stream &stream = m_streams[streamId];
    stream.outgoing = std::move(body);
    stream.onReply = std::move(onReply);
    flush();
}

void Http2Session::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    asio::error_code ignored;
    m_socket.close(ignored);
    std::unordered_map<std::int32_t, Stream> streams;
    streams.swap(m_streams);
    for (auto &[id, stream] : streams) {
        if (stream.onReply) {
            stream.onReply(std::nullopt);
        }
    }
    if (m_onClosed) {
        const std::function<void()> onClosed = std::move(m_onClosed);
        m_onClosed = nullptr;
        onClosed();
    }
}

bool Http2Session::isClosed() const
{
    return m_closed;
}

void Http2Session::read()
{
    m_socket.async_read_some(asio::buffer(m_readBuffer), [self = shared_from_this()](const asio::error_code &error, std::size_t length) {
        if (error || self->m_closed) {
            self->close();
            return;
        }
        self->m_wireBytes += length;
        self->m_insideNghttp2 = true;
        const ssize_t consumed = nghttp2_session_mem_recv(self->m_session, self->m_readBuffer.data(), length);
        self->m_insideNghttp2 = false;
        if (consumed < 0) {
            self->close();
            return;
        }
        self->flush();
        if (!self->m_closed) {
            self->read();
        }
    });
}

void Http2Session::flush()
{
    if (m_writing || m_closed || m_insideNghttp2) {
        return;
    }
    m_writeBuffer.clear();
    while (!m_closed) {
        const std::uint8_t *data = nullptr;
        m_insideNghttp2 = true;
        const ssize_t length = nghttp2_session_mem_send(m_session, &data);
        m_insideNghttp2 = false;
        if (length < 0) {
            close();
            return;
        }
        if (length == 0) {
            break;
        }
        m_writeBuffer.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(length));
    }
    if (m_writeBuffer.empty() || m_closed) {
        return;
    }
    m_writing = true;
    m_wireBytes += m_writeBuffer.size();
    asio::async_write(m_socket, asio::buffer(m_writeBuffer), [self = shared_from_this()](const asio::error_code &error, std::size_t) {
        self->m_writing = false;
        if (error) {
            self->close();
        } else {
            self->flush();
        }
    });
}

// Called once a request has been received in full.
void Http2Session::handleRequest(std::int32_t streamId)
{
    const auto found = m_streams.find(streamId);
    if (found == m_streams.end() || !m_onRequest) {
        return;
    }
    m_onRequest(found->second.path, found->second.received, [weak = weak_from_this(), streamId](std::optional<std::string> reply) {
        if (const auto self = weak.lock()) {
            self->respond(streamId, std::move(reply));
        }
    });
}

void Http2Session::respond(std::int32_t streamId, std::optional<std::string> reply)
{
    const auto found = m_streams.find(streamId);
    if (m_closed || found == m_streams.end()) {
        return;
    }
    if (!reply) {
        nghttp2_session_terminate_session(m_session, NGHTTP2_REFUSED_STREAM);
        flush();
        return;
    }
    found->second.outgoing = std::move(*reply);
    const std::string status = "200";
    const nghttp2_nv headers[] = {header(":status", status)};
    nghttp2_data_provider provider{};
    provider.read_callback = &Http2Session::provideOutgoing;
    nghttp2_submit_response(m_session, streamId, headers, std::size(headers), &provider);
    // Inside a callback of nghttp2, flush() does nothing, and read() calls it afterwards.
    flush();
}

ssize_t Http2Session::provideOutgoing(
    nghttp2_session *, std::int32_t streamId, std::uint8_t *buffer, std::size_t length, std::uint32_t *flags, nghttp2_data_source *, void *self)
{
    auto &streams = static_cast<Http2Session *>(self)->m_streams;
    const auto found = streams.find(streamId);
    if (found == streams.end()) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    Stream &stream = found->second;
    const std::size_t count = std::min(length, stream.outgoing.size() - stream.sent);
    std::copy_n(stream.outgoing.data() + stream.sent, count, buffer);
    stream.sent += count;
    if (stream.sent == stream.outgoing.size()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
}

int Http2Session::onHeader(nghttp2_session *,
                           const nghttp2_frame *frame,
                           const std::uint8_t *name,
                           std::size_t nameLength,
                           const std::uint8_t *value,
                           std::size_t valueLength,
                           std::uint8_t,
                           void *self)
{
    const std::string_view headerName(reinterpret_cast<const char *>(name), nameLength);
    if (headerName == ":path") {
        auto &streams = static_cast<Http2Session *>(self)->m_streams;
        streams[frame->hd.stream_id].path.assign(reinterpret_cast<const char *>(value), valueLength);
    }
    return 0;
}

int Http2Session::onData(nghttp2_session *, std::uint8_t, std::int32_t streamId, const std::uint8_t *data, std::size_t length, void *self)
{
    Stream &stream = static_cast<Http2Session *>(self)->m_streams[streamId];
    if (stream.received.size() + length > MaxMessageBytes) {
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    stream.received.append(reinterpret_cast<const char *>(data), length);
    return 0;
}

int Http2Session::onFrame(nghttp2_session *, const nghttp2_frame *frame, void *self)
{
    auto *session = static_cast<Http2Session *>(self);
    if (session->m_role == Role::Server && isEndOfRequest(frame)) {
        session->handleRequest(frame->hd.stream_id);
    }
    return 0;
}

int Http2Session::onStreamClosed(nghttp2_session *, std::int32_t streamId, std::uint32_t errorCode, void *self)
{
    auto *session = static_cast<Http2Session *>(self);
    const auto found = session->m_streams.find(streamId);
    if (found == session->m_streams.end()) {
        return 0;
    }
    Stream stream = std::move(found->second);
    session->m_streams.erase(found);
    if (stream.onReply) {
        stream.onReply(errorCode == NGHTTP2_NO_ERROR ? std::optional(std::move(stream.received)) : std::nullopt);
    }
    return 0;
}

}
