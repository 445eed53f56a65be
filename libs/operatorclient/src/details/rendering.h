#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace Cornelquay::Details {

/**
 * Formats @p value for people: objects as "key: value" lines, lists of objects as aligned tables,
 * everything else as JSON. Positive integers whose key ends in "-ms" are shown as times in UTC.
 */
std::string renderText(const nlohmann::ordered_json &value);

}
