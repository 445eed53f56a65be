#pragma once

#include "httpio/message.h"
#include "transport/address.h"

#include <string>

namespace Cornelquay::Details {

/** The bytes of @p request; its Host header is @p address unless the request has one. */
std::string serialize(const HttpRequest &request, const Address &address);

/** The bytes of @p response; @p closesConnection adds the header that announces the end of the connection. */
std::string serialize(const HttpResponse &response, bool closesConnection);

}
