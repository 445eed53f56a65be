#include "records/identifiers.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <cstring>
#include <stdexcept>

namespace Cornelquay {

RecordId newRecordId()
{
    RecordId id{};
    if (RAND_bytes(id.data(), static_cast<int>(id.size())) != 1) {
        throw std::runtime_error("the system's random source failed");
    }
    return id;
}

ClaimKey claimKeyOf(std::string_view team, std::string_view requestId)
{
    std::string input(team);
    input += '\0';
    input += requestId;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    if (EVP_Digest(input.data(), input.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("SHA-256 is not available");
    }
    ClaimKey key{};
    std::memcpy(key.data(), digest.data(), key.size());
    return key;
}

std::string toHex(const std::array<std::uint8_t, IdentifierBytes> &identifier)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    for (const std::uint8_t byte : identifier) {
        text += Digits[byte >> 4U];
        text += Digits[byte & 0xFU];
    }
    return text;
}

std::size_t IdentifierHash::operator()(const std::array<std::uint8_t, IdentifierBytes> &identifier) const
{
    std::size_t hash = 0;
    std::memcpy(&hash, identifier.data(), sizeof hash);
    return hash;
}

}
