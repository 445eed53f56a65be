#pragma once

#include "records/record.h"

#include <msgpack.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Cornelquay::Packing {

// MessagePack encoding of types that have fields(): an array of the fields in their order.
// This header is slow to compile, so only codec sources include it.

template<typename Type>
concept HasFields = requires(Type &value)
{
    value.fields();
};

template<typename Type>
void pack(msgpack::packer<msgpack::sbuffer> &packer, const Type &value);

template<typename Type>
void unpack(const msgpack::object &object, Type &value);

template<typename Type>
void packAll(msgpack::packer<msgpack::sbuffer> &packer, const Type &fields)
{
    packer.pack_array(std::tuple_size_v<Type>);
    std::apply(
        [&](const auto &...field) {
            (pack(packer, field), ...);
        },
        fields);
}

template<typename Type>
struct Packer {
    static void pack(msgpack::packer<msgpack::sbuffer> &packer, const Type &value)
    {
        if constexpr (HasFields<Type>) {
            // fields() returns references and modifies nothing. Record types define only the non-const overload, for brevity.
            packAll(packer, const_cast<Type &>(value).fields()); // NOLINT(cppcoreguidelines-pro-type-const-cast)
        } else if constexpr (std::is_enum_v<Type>) {
            packer.pack(static_cast<std::uint32_t>(value));
        } else {
            packer.pack(value);
        }
    }

    static void unpack(const msgpack::object &object, Type &value)
    {
        if constexpr (HasFields<Type>) {
            auto fields = value.fields();
            if (object.type != msgpack::type::ARRAY || object.via.array.size != std::tuple_size_v<decltype(fields)>) {
                throw msgpack::type_error();
            }
            std::size_t index = 0;
            std::apply(
                [&](auto &...field) {
                    (Packing::unpack(object.via.array.ptr[index++], field), ...);
                },
                fields);
        } else if constexpr (std::is_enum_v<Type>) {
            value = static_cast<Type>(object.as<std::uint32_t>());
        } else {
            object.convert(value);
        }
    }
};

template<std::size_t Size>
struct Packer<std::array<std::uint8_t, Size>> {
    static void pack(msgpack::packer<msgpack::sbuffer> &packer, const std::array<std::uint8_t, Size> &value)
    {
        packer.pack_bin(Size);
        packer.pack_bin_body(reinterpret_cast<const char *>(value.data()), Size);
    }

    static void unpack(const msgpack::object &object, std::array<std::uint8_t, Size> &value)
    {
        if (object.type != msgpack::type::BIN || object.via.bin.size != Size) {
            throw msgpack::type_error();
        }
        std::copy_n(object.via.bin.ptr, Size, reinterpret_cast<char *>(value.data()));
    }
};

template<typename Item>
struct Packer<std::vector<Item>> {
    static void pack(msgpack::packer<msgpack::sbuffer> &packer, const std::vector<Item> &values)
    {
        packer.pack_array(static_cast<std::uint32_t>(values.size()));
        for (const Item &value : values) {
            Packing::pack(packer, value);
        }
    }

    static void unpack(const msgpack::object &object, std::vector<Item> &values)
    {
        if (object.type != msgpack::type::ARRAY) {
            throw msgpack::type_error();
        }
        values.resize(object.via.array.size);
        for (std::uint32_t index = 0; index < object.via.array.size; ++index) {
            Packing::unpack(object.via.array.ptr[index], values[index]);
        }
    }
};

template<typename Key, typename Value>
struct Packer<std::map<Key, Value>> {
    static void pack(msgpack::packer<msgpack::sbuffer> &packer, const std::map<Key, Value> &entries)
    {
        packer.pack_map(static_cast<std::uint32_t>(entries.size()));
        for (const auto &[key, value] : entries) {
            Packing::pack(packer, key);
            Packing::pack(packer, value);
        }
    }

    static void unpack(const msgpack::object &object, std::map<Key, Value> &entries)
    {
        if (object.type != msgpack::type::MAP) {
            throw msgpack::type_error();
        }
        entries.clear();
        for (std::uint32_t index = 0; index < object.via.map.size; ++index) {
            Key key{};
            Value value{};
            Packing::unpack(object.via.map.ptr[index].key, key);
            Packing::unpack(object.via.map.ptr[index].val, value);
            entries.emplace_hint(entries.end(), std::move(key), std::move(value));
        }
    }
};

template<typename Type>
void pack(msgpack::packer<msgpack::sbuffer> &packer, const Type &value)
{
    Packer<Type>::pack(packer, value);
}

template<typename Type>
void unpack(const msgpack::object &object, Type &value)
{
    Packer<Type>::unpack(object, value);
}

/**
 * Limits for unpacking @p bytes bytes of untrusted input: no array, map, string or binary value is
 * longer than the input, extension values carry no data, and the nesting depth is bounded. Without
 * them, a short input could announce a huge array and exhaust the memory.
 */
inline msgpack::unpack_limit unpackLimits(std::size_t bytes)
{
    constexpr std::size_t MaxNestingDepth = 16;
    return {bytes, bytes, bytes, bytes, 0, MaxNestingDepth};
}

/** Encodes @p value as MessagePack. */
template<typename Type>
std::string toBytes(const Type &value)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    pack(packer, value);
    return {buffer.data(), buffer.size()};
}

/** Decodes bytes written by toBytes(). Returns std::nullopt if they are malformed. */
template<typename Type>
std::optional<Type> fromBytes(std::string_view bytes)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, unpackLimits(bytes.size()));
        Type value;
        unpack(handle.get(), value);
        return value;
    } catch (const std::exception &) {
        // msgpack throws exceptions of several types for malformed input.
        return std::nullopt;
    }
}

}
