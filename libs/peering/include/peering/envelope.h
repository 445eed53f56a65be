#pragma once

#include "records/identifiers.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Cornelquay {

/** Random bytes that one side adds to a handshake. */
using Nonce = std::array<std::uint8_t, 16>;

/** The key of one connection, derived from the shared secret and both sides' nonces. */
using SessionKey = std::array<std::uint8_t, 32>;

/** Which way a message goes; a message can never be taken for one of the other way. */
enum class Direction : std::uint8_t {
    Request = 1,
    Reply = 2,
};

/** What the dialling side says first. */
struct Hello {
    Incarnation from;
    Nonce nonce{};
};

/** What the listening side answers; proves that it knows the secret. */
struct HelloReply {
    Incarnation from;
    Nonce nonce{};
    std::array<std::uint8_t, 32> proof{};
};

// All functions here are pure apart from newNonce(), and thread-safe.

Nonce newNonce();
SessionKey deriveKey(std::string_view secret, const Hello &hello, const Incarnation &listener, const Nonce &listenerNonce);
HelloReply makeHelloReply(std::string_view secret, const Hello &hello, const Incarnation &listener);
/** Whether the listening side knows the secret. */
bool isProven(std::string_view secret, const Hello &hello, const HelloReply &reply);

std::string encode(const Hello &hello);
std::optional<Hello> decodeHello(std::string_view bytes);
std::string encode(const HelloReply &reply);
std::optional<HelloReply> decodeHelloReply(std::string_view bytes);

/** @p payload with its number and an HMAC-SHA256 over direction, number and payload. */
std::string seal(const SessionKey &key, Direction direction, std::uint64_t number, std::string_view payload);

/** The number that @p sealed claims to carry, not yet proven; nothing if it is too short. */
std::optional<std::uint64_t> claimedNumber(std::string_view sealed);

/** The payload if the seal is right and carries exactly @p number. */
std::optional<std::string> unseal(const SessionKey &key, Direction direction, std::uint64_t number, std::string_view sealed);

}
