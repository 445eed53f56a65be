#include "details/messageparser.h"

#include <algorithm>
#include <cctype>

namespace Cornelquay {

namespace {

// A field is followed by ": " and a line end, however short it is.
constexpr std::size_t FramingPerHeaderByte = 4;
// The size of a chunk in hexadecimal and two line ends.
constexpr std::size_t FramingPerChunk = 20;

bool equalNames(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

std::string_view findHeader(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (equalNames(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

}

std::string_view HttpRequest::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string_view HttpResponse::header(std::string_view name) const
{
    return findHeader(headers, name);
}

namespace Details {

MessageParser::MessageParser(http_parser_type type, std::size_t maxHeaderBytes, std::size_t maxBodyBytes)
    : m_type(type)
    , m_maxHeaderBytes(maxHeaderBytes)
    , m_maxBodyBytes(maxBodyBytes)
{
    reset();
}

void MessageParser::reset()
{
    http_parser_init(&m_parser, m_type);
    m_parser.data = this;
    m_state = ParseState::Empty;
    m_inValue = false;
    m_headerBytes = 0;
    m_consumedBytes = 0;
    m_chunks = 0;
    m_target = {};
    m_headers = {};
    m_body = {};
}

MessageParser &MessageParser::fromParser(http_parser *parser)
{
    return *static_cast<MessageParser *>(parser->data);
}

int MessageParser::countHeaderBytes(std::size_t length)
{
    m_headerBytes += length;
    if (m_headerBytes > m_maxHeaderBytes) {
        m_state = ParseState::HeadersTooLarge;
        return 1;
    }
    return 0;
}

int MessageParser::onUrl(http_parser *parser, const char *data, std::size_t length)
{
    fromParser(parser).m_target.append(data, length);
    return fromParser(parser).countHeaderBytes(length);
}

int MessageParser::onField(http_parser *parser, const char *data, std::size_t length)
{
    MessageParser &self = fromParser(parser);
    if (self.m_headers.empty() || self.m_inValue) {
        self.m_headers.emplace_back();
        self.m_inValue = false;
    }
    self.m_headers.back().name.append(data, length);
    return self.countHeaderBytes(length);
}

int MessageParser::onValue(http_parser *parser, const char *data, std::size_t length)
{
    MessageParser &self = fromParser(parser);
    self.m_inValue = true;
    self.m_headers.back().value.append(data, length);
    return self.countHeaderBytes(length);
}

int MessageParser::onBody(http_parser *parser, const char *data, std::size_t length)
{
    MessageParser &self = fromParser(parser);
    if (self.m_body.size() + length > self.m_maxBodyBytes) {
        self.m_state = ParseState::BodyTooLarge;
        return 1;
    }
    self.m_body.append(data, length);
    return 0;
}

int MessageParser::onChunkHeader(http_parser *parser)
{
    ++fromParser(parser).m_chunks;
    return 0;
}

int MessageParser::onComplete(http_parser *parser)
{
    MessageParser &self = fromParser(parser);
    self.m_state = ParseState::Complete;
    self.m_keepsAlive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
}

std::size_t MessageParser::feed(std::string_view bytes)
{
    if (bytes.empty() || m_state >= ParseState::Complete) {
        return 0;
    }
    static const http_parser_settings Settings = [] {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_url = &MessageParser::onUrl;
        settings.on_header_field = &MessageParser::onField;
        settings.on_header_value = &MessageParser::onValue;
        settings.on_body = &MessageParser::onBody;
        settings.on_chunk_header = &MessageParser::onChunkHeader;
        settings.on_message_complete = &MessageParser::onComplete;
        return settings;
    }();
    m_state = ParseState::Reading;
    const std::size_t consumed = http_parser_execute(&m_parser, &Settings, bytes.data(), bytes.size());
    if (m_state == ParseState::Reading && HTTP_PARSER_ERRNO(&m_parser) != HPE_OK) {
        m_state = ParseState::Malformed;
    }
    m_consumedBytes += consumed;
    if (m_state == ParseState::Reading && hasTooMuchFraming()) {
        m_state = ParseState::HeadersTooLarge;
    }
    return consumed;
}

void MessageParser::finish()
{
    if (m_state == ParseState::Reading) {
        static const http_parser_settings Settings = [] {
            http_parser_settings settings;
            http_parser_settings_init(&settings);
            settings.on_message_complete = &MessageParser::onComplete;
            return settings;
        }();
        http_parser_execute(&m_parser, &Settings, nullptr, 0);
        m_keepsAlive = false;
    }
}

ParseState MessageParser::state() const
{
    return m_state;
}

std::size_t MessageParser::heldBytes() const
{
    return m_target.capacity() + m_headerBytes + m_headers.capacity() * sizeof(HttpHeader) + m_body.capacity();
}

bool MessageParser::hasTooMuchFraming() const
{
    return m_consumedBytes - m_headerBytes - m_body.size() > FramingPerHeaderByte * m_headerBytes + FramingPerChunk * m_chunks + m_maxHeaderBytes;
}

bool MessageParser::keepsAlive() const
{
    return m_keepsAlive;
}

HttpRequest MessageParser::takeRequest()
{
    return {http_method_str(static_cast<http_method>(m_parser.method)), std::move(m_target), std::move(m_headers), std::move(m_body)};
}

HttpResponse MessageParser::takeResponse()
{
    return {static_cast<int>(m_parser.status_code), std::move(m_body), std::move(m_headers)};
}

}

}
