#pragma once

#include "settings/document.h"
#include "transport/address.h"

namespace Cornelquay {

/** The IP number and port that @p element holds; a finding if it holds none. */
Address readAddress(const Element &element);

}
