#pragma once

#include "records/identifiers.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Cornelquay {

/** Random bytes that each side contributes to the handshake, so that no two handshakes are alike. */
using Nonce = std::array<std::uint8_t, 16>;

/** The key of one connection, derived from the shared secret and both sides' nonces. */
using SessionKey = std::array<std::uint8_t, 32>;

/** Direction of a message. It is covered by the MAC, so that a request cannot be passed off as a reply. */
enum class Direction : std::uint8_t {
    Request = 1,
    Reply = 2,
};

/** First message of the handshake, from the connecting node. */
struct Hello {
    Incarnation from;
    Nonce nonce{};
};

/** The accepting node's answer to Hello. */
struct HelloReply {
    Incarnation from;
    Nonce nonce{};
    /** HMAC-SHA256 over both identities and nonces; shows that the accepting node knows the shared secret. */
    std::array<std::uint8_t, 32> proof{};
};

// All functions here are thread-safe, and all but newNonce() and makeHelloReply(), which draws a nonce, are pure.
// They throw std::runtime_error if OpenSSL provides no HMAC-SHA256 or no random bytes.

Nonce newNonce();
/** The key of the connection that was opened by @p hello and answered by @p listener with @p listenerNonce. */
SessionKey deriveKey(std::string_view secret, const Hello &hello, const Incarnation &listener, const Nonce &listenerNonce);
/** The answer of @p listener to @p hello, with a new nonce. */
HelloReply makeHelloReply(std::string_view secret, const Hello &hello, const Incarnation &listener);
/** Whether @p reply to @p hello shows that its sender knows @p secret. The caller checks that the sender is the expected node. */
bool isProofValid(std::string_view secret, const Hello &hello, const HelloReply &reply);

// Binary form; decoding returns nothing if the bytes are malformed.
std::string encode(const Hello &hello);
std::optional<Hello> decodeHello(std::string_view bytes);
std::string encode(const HelloReply &reply);
std::optional<HelloReply> decodeHelloReply(std::string_view bytes);

/** The message for @p payload: an HMAC-SHA256 over direction, sequence number and payload, then the sequence number and the payload, unencrypted. */
std::string signMessage(const SessionKey &key, Direction direction, std::uint64_t sequenceNumber, std::string_view payload);

/** The sequence number in @p signedMessage, not verified; nothing if the message is too short. */
std::optional<std::uint64_t> claimedSequenceNumber(std::string_view signedMessage);

/** The payload if the MAC is valid and the message carries exactly @p sequenceNumber; nothing otherwise. */
std::optional<std::string> verifyMessage(const SessionKey &key, Direction direction, std::uint64_t sequenceNumber, std::string_view signedMessage);

}
