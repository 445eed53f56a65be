#pragma once

#include "httpio/message.h"

#include <http_parser.h>

#include <string>
#include <string_view>

namespace Cornelquay::Details {

/** Progress of the current message; the states from Complete on are final until reset(). */
enum class ParseState {
    Empty,
    Reading,
    Complete,
    HeadersTooLarge,
    BodyTooLarge,
    Malformed,
};

/**
 * Incremental parser of HTTP/1.1 messages; parses one message at a time. Chunk extensions are discarded, and limited like header
 * fields. Not thread-safe.
 */
class MessageParser
{
public:
    MessageParser(http_parser_type type, std::size_t maxHeaderBytes, std::size_t maxBodyBytes);

    /** Parses @p bytes up to the end of the message and returns the number of bytes consumed. */
    std::size_t feed(std::string_view bytes);
    /** Reports the end of the stream. It completes a message whose body ends with the stream; a truncated one stays in ParseState::Reading. */
    void finish();
    /** Prepares for the next message and releases the memory of this one. */
    void reset();

    ParseState state() const;
    /** Memory that the message takes as far as it has been received. */
    std::size_t heldBytes() const;
    /** Whether the connection stays open after the message; valid once it is complete. */
    bool keepsAlive() const;
    /** Moves out the complete message; call once per message. */
    HttpRequest takeRequest();
    HttpResponse takeResponse();

private:
    static int onUrl(http_parser *parser, const char *data, std::size_t length);
    static int onField(http_parser *parser, const char *data, std::size_t length);
    static int onValue(http_parser *parser, const char *data, std::size_t length);
    static int onBody(http_parser *parser, const char *data, std::size_t length);
    static int onComplete(http_parser *parser);
    static MessageParser &fromParser(http_parser *parser);
    static int onChunkHeader(http_parser *parser);
    int countHeaderBytes(std::size_t length);
    /** Whether the bytes that are neither in a field nor in the body are more than the fields and chunks need. */
    bool hasTooMuchFraming() const;

    const http_parser_type m_type;
    const std::size_t m_maxHeaderBytes;
    const std::size_t m_maxBodyBytes;
    http_parser m_parser{};
    ParseState m_state = ParseState::Empty;
    bool m_keepsAlive = false;
    bool m_inValue = false;
    std::size_t m_headerBytes = 0;
    std::size_t m_consumedBytes = 0;
    std::size_t m_chunks = 0;
    std::string m_target;
    std::vector<HttpHeader> m_headers;
    std::string m_body;
};

}
