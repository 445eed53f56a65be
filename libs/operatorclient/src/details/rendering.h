#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace Cornelquay::Details {

/** Objects as "key: value" lines, lists of objects as aligned tables, everything else as JSON. */
std::string renderText(const nlohmann::ordered_json &value);

}
