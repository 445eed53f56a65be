#include "records/record.h"

#include <array>

namespace Cornelquay {

namespace {

constexpr std::array<std::string_view, std::variant_size_v<RecordBody>> KindNames{
    "configuration-changed", "key-granted",      "key-withdrawn",       "node-joined",        "node-left",          "node-removed",   "requests-claimed",
    "claims-released",       "limit-part-taken", "limit-part-returned", "instance-enrolled",  "instance-dismissed", "instance-moved", "outage-granted",
    "outage-ended",          "instance-failed",  "instance-recovered",  "maintenance-paused", "snapshot-chunk",     "wave-started",   "maintenance-skipped",
};

constexpr std::array<std::string_view, 3> PurposeNames{"maintenance", "operator-drain", "move"};

}

std::string_view kindName(const RecordBody &body)
{
    return KindNames[body.index()];
}

std::string_view toName(OutagePurpose purpose)
{
    return PurposeNames[static_cast<std::size_t>(purpose)];
}

}
