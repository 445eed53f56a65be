#include "jobnode/jobexplanation.h"

#include "records/packing.h"

namespace Cornelquay {

std::string encode(const JobExplanation &explanation)
{
    return Packing::toBytes(explanation);
}

std::optional<JobExplanation> decodeJobExplanation(std::string_view bytes)
{
    return Packing::fromBytes<JobExplanation>(bytes);
}

}
