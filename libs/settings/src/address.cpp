#include "settings/address.h"

namespace Cornelquay {

Address readAddress(const Element &element)
{
    const std::string text = element.text();
    const std::optional<Address> address = parseAddress(text);
    if (element.isPresent() && !address) {
        element.report("'" + text + "' is not an address", "write an IP number and a port, such as 127.0.0.1:7001");
    }
    return address.value_or(Address{});
}

}
