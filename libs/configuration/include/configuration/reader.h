#pragma once

#include "configuration/configuration.h"
#include "findings/findings.h"

#include <string>

namespace Cornelquay {

/** What came of reading a text: the configuration is usable only if there are no findings. */
struct ReadConfiguration {
    Configuration configuration;
    Findings findings;
};

/** Longest text that is read, in bytes. */
constexpr std::size_t ConfigurationTextMax = 4ULL * 1024 * 1024;

/**
 * Reads and checks the operators' text. All faults are found in one pass; nothing is accepted in
 * part. @p fileName appears in the findings only. Pure and thread-safe.
 */
ReadConfiguration readConfiguration(const std::string &fileName, const std::string &text);

}
