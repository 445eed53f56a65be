#include "records/codec.h"

#include "records/packing.h"

namespace Cornelquay {

namespace {

constexpr std::uint32_t EnvelopeFieldCount = 6;

using Unpacker = RecordBody (*)(const msgpack::object &);

template<typename Body>
RecordBody unpackBody(const msgpack::object &object)
{
    Body body;
    Packing::unpack(object, body);
    return body;
}

template<std::size_t... Index>
constexpr std::array<Unpacker, sizeof...(Index)> unpackers(std::index_sequence<Index...>)
{
    return {&unpackBody<std::variant_alternative_t<Index, RecordBody>>...};
}

constexpr auto Unpackers = unpackers(std::make_index_sequence<std::variant_size_v<RecordBody>>());

tl::expected<Record, DecodeError> decodeEnvelope(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size == 0) {
        return tl::make_unexpected(DecodeError::Malformed);
    }
    const msgpack::object *fields = object.via.array.ptr;
    if (fields[0].as<std::uint32_t>() > RecordVersion) {
        return tl::make_unexpected(DecodeError::NewerVersion);
    }
    if (object.via.array.size != EnvelopeFieldCount) {
        return tl::make_unexpected(DecodeError::Malformed);
    }
    Record record;
    Packing::unpack(fields[1], record.id);
    Packing::unpack(fields[2], record.author);
    Packing::unpack(fields[3], record.reason);
    const auto kind = fields[4].as<std::uint32_t>();
    if (kind >= Unpackers.size()) {
        return tl::make_unexpected(DecodeError::Malformed);
    }
    record.body = Unpackers[kind](fields[5]);
    return record;
}

}

std::string encode(const Record &record)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(EnvelopeFieldCount);
    packer.pack(RecordVersion);
    Packing::pack(packer, record.id);
    packer.pack(record.author);
    packer.pack(record.reason);
    packer.pack(static_cast<std::uint32_t>(record.body.index()));
    std::visit(
        [&](const auto &body) {
            Packing::pack(packer, body);
        },
        record.body);
    return {buffer.data(), buffer.size()};
}

tl::expected<Record, DecodeError> decode(std::string_view bytes)
{
    if (bytes.empty() || bytes.size() > MaxRecordBytes) {
        return tl::make_unexpected(DecodeError::Malformed);
    }
    try {
        std::size_t consumed = 0;
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), consumed, nullptr, nullptr, Packing::unpackLimits(bytes.size()));
        if (consumed != bytes.size()) {
            return tl::make_unexpected(DecodeError::Malformed);
        }
        return decodeEnvelope(handle.get());
    } catch (const std::exception &) {
        // msgpack throws exceptions of several types for malformed input.
        return tl::make_unexpected(DecodeError::Malformed);
    }
}

}
