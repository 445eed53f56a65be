#include "upstream/taskprotocol.h"

#include <openssl/evp.h>

#include <array>
#include <stdexcept>

namespace Cornelquay {

namespace {

constexpr std::array<std::string_view, 6> StateNames{"not-started", "fenced", "running", "finished", "failed", "stopped"};

}

std::string_view toName(TaskState state)
{
    return StateNames[static_cast<std::size_t>(state)];
}

std::optional<TaskState> parseTaskState(std::string_view name)
{
    for (std::size_t index = 0; index < StateNames.size(); ++index) {
        if (StateNames[index] == name) {
            return static_cast<TaskState>(index);
        }
    }
    return std::nullopt;
}

std::string contentDigest(std::string_view body)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    if (EVP_Digest(body.data(), body.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("SHA-256 is not available");
    }
    std::array<unsigned char, 2ULL * EVP_MAX_MD_SIZE> encoded{};
    const int encodedLength = EVP_EncodeBlock(encoded.data(), digest.data(), static_cast<int>(length));
    return "sha-256=:" + std::string(reinterpret_cast<const char *>(encoded.data()), static_cast<std::size_t>(encodedLength)) + ':';
}

}
