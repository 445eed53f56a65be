#include "platform/platformservice.h"

#include "transport/httpclientpool.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <array>

namespace Cornelquay {

namespace {

constexpr std::size_t MaxConnections = 8;
constexpr int StatusOk = 200;
constexpr int StatusNotModified = 304;
constexpr int StatusUnavailable = 503;
constexpr int MinClientErrorStatus = 400;
constexpr int MaxClientErrorStatus = 499;

constexpr std::array<std::string_view, 5> StateNames{"live", "leaving", "draining", "drained", "rebooting"};

std::optional<ListedInstance> parseInstance(const nlohmann::json &item)
{
    ListedInstance instance;
    instance.name = item.at("name").get<std::string>();
    instance.incarnation = item.at("incarnation").get<std::uint64_t>();
    instance.pool = item.at("pool").get<std::string>();
    instance.zone = item.at("zone").get<std::string>();
    instance.rack = item.at("rack").get<std::string>();
    instance.cores = item.at("cores").get<double>();
    instance.memoryBytes = item.at("memory-bytes").get<std::uint64_t>();
    instance.accelerators = item.at("accelerators").get<double>();
    instance.maintainedAtMs = item.at("maintained-at").get<std::int64_t>();
    const std::optional<Address> address = parseAddress(item.at("address").get<std::string>());
    const std::optional<ListedState> state = parseListedState(item.at("state").get<std::string>());
    if (!address || !state) {
        return std::nullopt;
    }
    instance.address = *address;
    instance.state = *state;
    return instance;
}

std::optional<std::vector<ListedInstance>> parseInstances(const std::string &text)
{
    std::vector<ListedInstance> instances;
    try {
        const nlohmann::json body = nlohmann::json::parse(text);
        for (const nlohmann::json &item : body.at("instances")) {
            std::optional<ListedInstance> instance = parseInstance(item);
            if (!instance) {
                return std::nullopt;
            }
            instances.push_back(std::move(*instance));
        }
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
    return instances;
}

}

std::string_view toName(ListedState state)
{
    return StateNames[static_cast<std::size_t>(state)];
}

std::optional<ListedState> parseListedState(std::string_view name)
{
    for (std::size_t index = 0; index < StateNames.size(); ++index) {
        if (StateNames[index] == name) {
            return static_cast<ListedState>(index);
        }
    }
    return std::nullopt;
}

struct PlatformService::Impl {
    explicit Impl(Address address)
        : clients(std::move(address), MaxConnections)
    {
    }

    HttpClientPool clients;
    std::mutex mutex;
    /** The latest list and its entity tag, so that the platform does not send an unchanged list again. */
    std::vector<ListedInstance> list;
    std::string listEntityTag;
};

PlatformService::PlatformService(Address address)
    : m_impl(std::make_unique<Impl>(std::move(address)))
{
}

PlatformService::~PlatformService() = default;

tl::expected<std::vector<ListedInstance>, PlatformError> PlatformService::instances(SteadyTime deadline) const
{
    HttpClientPool::ClientHandle client = m_impl->clients.take(deadline);
    if (!client) {
        return tl::make_unexpected(PlatformError::NotDone);
    }
    std::string entityTag;
    {
        const std::lock_guard lock(m_impl->mutex);
        entityTag = m_impl->listEntityTag;
    }
    httplib::Headers headers;
    if (!entityTag.empty()) {
        headers.emplace("If-None-Match", entityTag);
    }
    const httplib::Result result = client->Get("/instances", headers);
    if (!result) {
        return tl::make_unexpected(PlatformError::NotDone);
    }
    m_impl->clients.giveBack(std::move(client));
    const std::lock_guard lock(m_impl->mutex);
    if (result->status == StatusNotModified && entityTag == m_impl->listEntityTag) {
        return m_impl->list;
    }
    if (result->status != StatusOk) {
        return tl::make_unexpected(PlatformError::NotDone);
    }
    std::optional<std::vector<ListedInstance>> instances = parseInstances(result->body);
    if (!instances) {
        return tl::make_unexpected(PlatformError::NotDone);
    }
    m_impl->list = std::move(*instances);
    m_impl->listEntityTag = result->get_header_value("ETag");
    return m_impl->list;
}

tl::expected<void, PlatformError> PlatformService::drain(const FencedCommand &command, SteadyTime deadline)
{
    return this->command("drain", command, deadline);
}

tl::expected<void, PlatformError> PlatformService::reboot(const FencedCommand &command, SteadyTime deadline)
{
    return this->command("reboot", command, deadline);
}

tl::expected<void, PlatformError> PlatformService::resume(const FencedCommand &command, SteadyTime deadline)
{
    return this->command("resume", command, deadline);
}

tl::expected<void, PlatformError> PlatformService::command(const std::string &verb, const FencedCommand &command, SteadyTime deadline)
{
    const nlohmann::json body{{"fence", command.fencingToken}, {"begin-before", toUnixMilliseconds(command.beginDeadline)}};
    HttpClientPool::ClientHandle client = m_impl->clients.take(deadline);
    if (!client) {
        return tl::make_unexpected(PlatformError::NotDone);
    }
    const httplib::Result result = client->Post("/instances/" + command.instance + '/' + verb, body.dump(), "application/json");
    if (!result) {
        return tl::make_unexpected(isNotSent(result.error()) ? PlatformError::NotDone : PlatformError::Unknown);
    }
    m_impl->clients.giveBack(std::move(client));
    if (result->status == StatusOk) {
        return {};
    }
    if (result->status == StatusUnavailable) {
        return tl::make_unexpected(PlatformError::NotDone);
    }
    const bool refused = result->status >= MinClientErrorStatus && result->status <= MaxClientErrorStatus;
    return tl::make_unexpected(refused ? PlatformError::Refused : PlatformError::Unknown);
}

}
