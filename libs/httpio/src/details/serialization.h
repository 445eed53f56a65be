#pragma once

#include "httpio/message.h"
#include "transport/address.h"

#include <string>

namespace Cornelquay::Details {

/** The bytes of @p request, addressed to @p address unless it names a host itself. */
std::string serialize(const HttpRequest &request, const Address &address);

/** The bytes of @p response; @p last says that the connection ends after it. */
std::string serialize(const HttpResponse &response, bool last);

}
