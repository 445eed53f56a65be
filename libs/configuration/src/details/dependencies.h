#pragma once

#include "configuration/configuration.h"

#include <string>
#include <vector>

namespace Cornelquay::Details {

/** Each cycle among the services' dependencies, as the services along it; self-loops are left out. */
std::vector<std::vector<std::string>> dependencyCycles(const Configuration &configuration);

std::string joined(const std::vector<std::string> &parts, const std::string &separator);

}
