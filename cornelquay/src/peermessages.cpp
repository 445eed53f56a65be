#include "details/peermessages.h"

#include "records/packing.h"

namespace Cornelquay::Details {

namespace {

template<typename Message>
std::string encodeMessage(const Message &message)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    Packing::pack(packer, message);
    return {buffer.data(), buffer.size()};
}

template<typename Message>
std::optional<Message> decodeMessage(std::string_view bytes)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, Packing::unpackLimits(bytes.size()));
        Message message;
        Packing::unpack(handle.get(), message);
        return message;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

}

std::string encode(const PeerRequest &request)
{
    return encodeMessage(request);
}

std::string encode(const PeerReply &reply)
{
    return encodeMessage(reply);
}

std::optional<PeerRequest> decodePeerRequest(std::string_view bytes)
{
    return decodeMessage<PeerRequest>(bytes);
}

std::optional<PeerReply> decodePeerReply(std::string_view bytes)
{
    return decodeMessage<PeerReply>(bytes);
}

}
