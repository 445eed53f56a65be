#include "details/keyring.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>

namespace Cornelquay::Details {

namespace {

constexpr std::string_view KeyPrefix = "cq_";
constexpr std::size_t KeyIdBytes = 8;
constexpr std::size_t SaltBytes = 16;
constexpr std::size_t SecretBytes = 32;

std::string toHexText(const unsigned char *bytes, std::size_t count)
{
    constexpr std::string_view HexDigits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * count);
    for (std::size_t index = 0; index < count; ++index) {
        text += HexDigits[bytes[index] >> 4U];
        text += HexDigits[bytes[index] & 0xFU];
    }
    return text;
}

std::string randomHex(std::size_t bytes)
{
    std::string buffer(bytes, '\0');
    auto *data = reinterpret_cast<unsigned char *>(buffer.data());
    if (RAND_bytes(data, static_cast<int>(bytes)) != 1) {
        throw std::runtime_error("the system's random source failed");
    }
    return toHexText(data, bytes);
}

std::string keyHash(const std::string &salt, std::string_view secret)
{
    return sha256Hex(salt + std::string(secret));
}

}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    if (EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("SHA-256 is not available");
    }
    return toHexText(digest.data(), length);
}

bool equalsInConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

NewKey makeKey(const std::string &team)
{
    const std::string keyId = randomHex(KeyIdBytes);
    const std::string salt = randomHex(SaltBytes);
    const std::string secret = randomHex(SecretBytes);
    return {std::string(KeyPrefix) + keyId + '_' + secret, {keyId, team, salt, keyHash(salt, secret)}};
}

std::optional<std::string> teamOfKey(const FleetState &state, std::string_view text)
{
    static const KeyEntry UnknownKey{{}, std::string(2 * SaltBytes, '0'), std::string(64, '0'), {}, 0, true};
    if (!text.starts_with(KeyPrefix)) {
        return std::nullopt;
    }
    text.remove_prefix(KeyPrefix.size());
    const std::size_t separator = text.find('_');
    if (separator == std::string_view::npos) {
        return std::nullopt;
    }
    const auto keyEntry = state.keys.find(std::string(text.substr(0, separator)));
    const KeyEntry &entry = keyEntry == state.keys.end() ? UnknownKey : keyEntry->second;
    const bool matches = equalsInConstantTime(keyHash(entry.salt, text.substr(separator + 1)), entry.hash);
    if (!matches || entry.withdrawn || !state.parsedConfiguration->teams.contains(entry.team)) {
        return std::nullopt;
    }
    return entry.team;
}

std::string bearerToken(const std::string &authorization)
{
    constexpr std::string_view Scheme = "Bearer ";
    return authorization.starts_with(Scheme) ? authorization.substr(Scheme.size()) : std::string();
}

}
