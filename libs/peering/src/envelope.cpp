#include "peering/envelope.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstring>
#include <stdexcept>

namespace Cornelquay {

namespace {

constexpr std::size_t MacBytes = 32;
constexpr std::size_t Uint64Bytes = 8;
/** Longest node name in a handshake. */
constexpr std::size_t MaxNameBytes = 64;

using Mac = std::array<std::uint8_t, MacBytes>;

Mac hmac(std::string_view key, std::string_view message)
{
    Mac mac{};
    unsigned int length = 0;
    const auto *data = reinterpret_cast<const unsigned char *>(message.data());
    if (HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data, message.size(), mac.data(), &length) == nullptr) {
        throw std::runtime_error("HMAC-SHA256 is not available");
    }
    return mac;
}

template<std::size_t Size>
std::string_view viewOf(const std::array<std::uint8_t, Size> &bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

// Big-endian.
std::string encodeUint64(std::uint64_t number)
{
    std::string bytes(Uint64Bytes, '\0');
    for (std::size_t index = 0; index < Uint64Bytes; ++index) {
        bytes[index] = static_cast<char>(number >> (8 * (Uint64Bytes - 1 - index)));
    }
    return bytes;
}

std::uint64_t decodeUint64(std::string_view bytes)
{
    std::uint64_t number = 0;
    for (const char byte : bytes.substr(0, Uint64Bytes)) {
        number = (number << 8U) | static_cast<std::uint8_t>(byte);
    }
    return number;
}

std::string encodeIncarnation(const Incarnation &incarnation)
{
    return encodeUint64(incarnation.number) + incarnation.name;
}

std::optional<Incarnation> decodeIncarnation(std::string_view bytes)
{
    if (bytes.size() <= Uint64Bytes || bytes.size() > Uint64Bytes + MaxNameBytes) {
        return std::nullopt;
    }
    return Incarnation{std::string(bytes.substr(Uint64Bytes)), decodeUint64(bytes)};
}

template<std::size_t Size>
std::array<std::uint8_t, Size> takeArray(std::string_view &bytes)
{
    std::array<std::uint8_t, Size> result{};
    std::memcpy(result.data(), bytes.data(), Size);
    bytes.remove_prefix(Size);
    return result;
}

// Contains both sides' identities and nonces, so that a proof or key is valid for one handshake only.
std::string transcript(const Hello &hello, const Incarnation &listener, const Nonce &listenerNonce)
{
    const std::string dialler = encodeIncarnation(hello.from);
    std::string text = encodeUint64(dialler.size()) + dialler;
    text += encodeIncarnation(listener);
    text += viewOf(hello.nonce);
    text += viewOf(listenerNonce);
    return text;
}

Mac computeProof(std::string_view secret, const Hello &hello, const Incarnation &listener, const Nonce &listenerNonce)
{
    return hmac(secret, "proof" + transcript(hello, listener, listenerNonce));
}

Mac computeMessageMac(const SessionKey &key, Direction direction, std::string_view numberAndPayload)
{
    std::string message(1, static_cast<char>(direction));
    message += numberAndPayload;
    return hmac(viewOf(key), message);
}

}

Nonce newNonce()
{
    Nonce nonce{};
    if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
        throw std::runtime_error("the system's random source failed");
    }
    return nonce;
}

SessionKey deriveKey(std::string_view secret, const Hello &hello, const Incarnation &listener, const Nonce &listenerNonce)
{
    return hmac(secret, "session" + transcript(hello, listener, listenerNonce));
}

HelloReply makeHelloReply(std::string_view secret, const Hello &hello, const Incarnation &listener)
{
    const Nonce nonce = newNonce();
    return {listener, nonce, computeProof(secret, hello, listener, nonce)};
}

bool isProofValid(std::string_view secret, const Hello &hello, const HelloReply &reply)
{
    const Mac expected = computeProof(secret, hello, reply.from, reply.nonce);
    return CRYPTO_memcmp(expected.data(), reply.proof.data(), MacBytes) == 0;
}

std::string encode(const Hello &hello)
{
    return std::string(viewOf(hello.nonce)) + encodeIncarnation(hello.from);
}

std::optional<Hello> decodeHello(std::string_view bytes)
{
    Hello hello;
    if (bytes.size() <= hello.nonce.size()) {
        return std::nullopt;
    }
    hello.nonce = takeArray<std::tuple_size_v<Nonce>>(bytes);
    const std::optional<Incarnation> from = decodeIncarnation(bytes);
    if (!from) {
        return std::nullopt;
    }
    hello.from = *from;
    return hello;
}

std::string encode(const HelloReply &reply)
{
    return std::string(viewOf(reply.nonce)) + std::string(viewOf(reply.proof)) + encodeIncarnation(reply.from);
}

std::optional<HelloReply> decodeHelloReply(std::string_view bytes)
{
    HelloReply reply;
    if (bytes.size() <= reply.nonce.size() + reply.proof.size()) {
        return std::nullopt;
    }
    reply.nonce = takeArray<std::tuple_size_v<Nonce>>(bytes);
    reply.proof = takeArray<MacBytes>(bytes);
    const std::optional<Incarnation> from = decodeIncarnation(bytes);
    if (!from) {
        return std::nullopt;
    }
    reply.from = *from;
    return reply;
}

std::string signMessage(const SessionKey &key, Direction direction, std::uint64_t sequenceNumber, std::string_view payload)
{
    const std::string body = encodeUint64(sequenceNumber) + std::string(payload);
    return std::string(viewOf(computeMessageMac(key, direction, body))) + body;
}

std::optional<std::uint64_t> claimedSequenceNumber(std::string_view signedMessage)
{
    if (signedMessage.size() < MacBytes + Uint64Bytes) {
        return std::nullopt;
    }
    return decodeUint64(signedMessage.substr(MacBytes));
}

std::optional<std::string> verifyMessage(const SessionKey &key, Direction direction, std::uint64_t sequenceNumber, std::string_view signedMessage)
{
    if (signedMessage.size() < MacBytes + Uint64Bytes) {
        return std::nullopt;
    }
    const std::string_view body = signedMessage.substr(MacBytes);
    const Mac expected = computeMessageMac(key, direction, body);
    if (CRYPTO_memcmp(expected.data(), signedMessage.data(), MacBytes) != 0 || decodeUint64(body) != sequenceNumber) {
        return std::nullopt;
    }
    return std::string(body.substr(Uint64Bytes));
}

}
