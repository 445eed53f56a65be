#include "details/peermessages.h"

#include "records/packing.h"

namespace Cornelquay::Details {

std::string encode(const PeerRequest &request)
{
    return Packing::toBytes(request);
}

std::string encode(const PeerReply &reply)
{
    return Packing::toBytes(reply);
}

std::optional<PeerRequest> decodePeerRequest(std::string_view bytes)
{
    return Packing::fromBytes<PeerRequest>(bytes);
}

std::optional<PeerReply> decodePeerReply(std::string_view bytes)
{
    return Packing::fromBytes<PeerReply>(bytes);
}

}
