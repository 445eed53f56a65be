#pragma once

#include "settings/document.h"
#include "transport/address.h"

namespace Cornelquay {

/**
 * The IP address and port that @p element holds. Adds a finding and returns an empty address if the
 * text is not valid.
 */
Address readAddress(const Element &element);

}
