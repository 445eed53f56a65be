#pragma once

#include "httpio/message.h"

#include <http_parser.h>

#include <string>
#include <string_view>

namespace Cornelquay::Details {

/** How far a message has come. */
enum class ParseState {
    Empty,
    Reading,
    Complete,
    HeadersTooLarge,
    BodyTooLarge,
    Malformed,
};

/** Reads one message at a time from a stream of bytes. Not thread-safe. */
class MessageParser
{
public:
    MessageParser(http_parser_type type, std::size_t headerBytesMax, std::size_t bodyBytesMax);

    /** Takes bytes until the message is complete; gives back how many were taken. */
    std::size_t feed(std::string_view bytes);
    /** The other side ended the stream, which completes a message without a length. */
    void finish();
    /** Makes ready for the next message. */
    void reset();

    ParseState state() const;
    bool keepsAlive() const;
    HttpRequest takeRequest();
    HttpResponse takeResponse();

private:
    static int onUrl(http_parser *parser, const char *data, std::size_t length);
    static int onField(http_parser *parser, const char *data, std::size_t length);
    static int onValue(http_parser *parser, const char *data, std::size_t length);
    static int onBody(http_parser *parser, const char *data, std::size_t length);
    static int onComplete(http_parser *parser);
    static MessageParser &of(http_parser *parser);
    int countHeaderBytes(std::size_t length);

    const http_parser_type m_type;
    const std::size_t m_headerBytesMax;
    const std::size_t m_bodyBytesMax;
    http_parser m_parser{};
    ParseState m_state = ParseState::Empty;
    bool m_keepsAlive = false;
    bool m_inValue = false;
    std::size_t m_headerBytes = 0;
    std::string m_target;
    std::vector<HttpHeader> m_headers;
    std::string m_body;
};

}
