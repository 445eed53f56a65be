#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Cornelquay {

/** A TCP endpoint given by IP number, never by name. */
struct Address {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const Address &) const = default;
};

/** Reads "192.0.2.1:80" or "[2001:db8::1]:80"; nothing if it is no IP number and port. */
std::optional<Address> parseAddress(std::string_view text);

/** The form that parseAddress() reads. */
std::string toText(const Address &address);

}
