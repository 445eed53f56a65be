#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace Cornelquay::Details {

/** Formats the answer of `POST /explain` for people, or the reason why there is none. Members that are missing are left out. */
std::string renderExplanation(const nlohmann::ordered_json &answer);

}
