#pragma once

#include "configuration/configuration.h"
#include "findings/findings.h"

#include <string>

namespace Cornelquay {

/** The result of readConfiguration(). The configuration is usable only if there are no findings. */
struct ConfigurationResult {
    Configuration configuration;
    Findings findings;
};

/** Longer configuration texts are rejected without being parsed. */
constexpr std::size_t MaxConfigurationTextBytes = 4ULL * 1024 * 1024;

/**
 * Reads and checks a configuration text. All faults are reported in one pass, and a text with any
 * fault is rejected as a whole. @p fileName appears in the findings only. Pure and thread-safe.
 */
ConfigurationResult readConfiguration(const std::string &fileName, const std::string &text);

}
