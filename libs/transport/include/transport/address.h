#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Cornelquay {

/** A TCP endpoint. The host is a numeric IPv4 or IPv6 address, never a name. */
struct Address {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const Address &) const = default;
};

/** Reads "192.0.2.1:80" or "[2001:db8::1]:80"; nothing if the text is not a numeric address and a port. */
std::optional<Address> parseAddress(std::string_view text);

/** Text in the form that parseAddress() reads. */
std::string toText(const Address &address);

}
