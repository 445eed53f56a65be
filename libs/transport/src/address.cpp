#include "transport/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace Cornelquay {

namespace {

bool isIpAddress(const std::string &host)
{
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    return inet_pton(AF_INET, host.c_str(), parsed.data()) == 1 || inet_pton(AF_INET6, host.c_str(), parsed.data()) == 1;
}

}

std::optional<Address> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    Address address;
    address.host = std::string(host);
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (error != std::errc() || end != port.data() + port.size() || port.empty() || !isIpAddress(address.host)) {
        return std::nullopt;
    }
    return address;
}

std::string toText(const Address &address)
{
    const bool isIpv6 = address.host.find(':') != std::string::npos;
    return (isIpv6 ? '[' + address.host + ']' : address.host) + ':' + std::to_string(address.port);
}

}
