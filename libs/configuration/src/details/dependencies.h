#pragma once

#include "configuration/configuration.h"

#include <string>
#include <vector>

namespace Cornelquay::Details {

/**
 * The cycles among the services' dependencies, each as the list of the services along it. A service
 * that depends on itself is not reported here.
 */
std::vector<std::vector<std::string>> dependencyCycles(const Configuration &configuration);

/** @p parts with @p separator between each two of them. */
std::string joined(const std::vector<std::string> &parts, const std::string &separator);

}
