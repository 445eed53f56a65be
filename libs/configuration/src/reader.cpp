#include "configuration/reader.h"

#include "details/dependencies.h"
#include "settings/document.h"

#include <cmath>
#include <set>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

constexpr int FormatVersion = 1;
constexpr int MaxInstances = 100000;
constexpr int MaxRunningLimit = 10000000;
constexpr double MaxCores = 1024;
constexpr double MaxAccelerators = 64;
constexpr std::uint64_t MaxMemoryBytes = 64ULL << 40;
constexpr double MaxWeight = 1000;
constexpr double MaxShareSumError = 1e-6;

/**
 * Reads one configuration text. References between sections, such as a service's pool, are checked
 * once all sections are read.
 */
class ConfigurationReader
{
public:
    ConfigurationReader(const std::string &fileName, const std::string &text)
        : m_document(fileName, text)
    {
    }

    ConfigurationResult read()
    {
        const Element root = m_document.root();
        root.allowKeys({"cornelquay", "regions", "pools", "services", "teams", "policy"});
        root.child("cornelquay").integer(FormatVersion, FormatVersion, FormatVersion);
        readRegions(root.child("regions"));
        readPools(root.child("pools"));
        readServices(root.child("services"));
        readTeams(root.child("teams"));
        readPolicy(root.child("policy", Presence::Optional));
        checkServices();
        checkShares(root);
        return {std::move(m_configuration), std::move(m_document.findings())};
    }

private:
    void readRegions(const Element &list)
    {
        std::set<std::string> regions;
        std::set<std::string> zones;
        for (const Element &item : list.items()) {
            item.allowKeys({"name", "zones"});
            Region region;
            region.name = uniqueName(item, regions, "region");
            for (const Element &zone : item.child("zones").items()) {
                region.zones.push_back(zone.name());
                if (!zones.insert(region.zones.back()).second) {
                    zone.report("availability zone '" + region.zones.back() + "' is listed twice", "list each zone in one region");
                }
            }
            if (region.zones.empty()) {
                item.report("the region has no availability zones", "list at least one under 'zones'");
            }
            m_configuration.regions.push_back(std::move(region));
        }
    }

    void readPools(const Element &list)
    {
        std::set<std::string> names;
        for (const Element &item : list.items()) {
            item.allowKeys({"name", "spare"});
            Pool pool;
            pool.name = uniqueName(item, names, "pool");
            pool.spare = item.child("spare", Presence::Optional).boolean(false);
            if (pool.spare && !sparePool(m_configuration).empty()) {
                item.report("there is a second spare pool", "keep one pool with 'spare: true'");
            }
            m_configuration.pools[pool.name] = std::move(pool);
        }
    }

    void readServices(const Element &list)
    {
        std::set<std::string> names;
        for (const Element &item : list.items()) {
            item.allowKeys({"name", "pool", "depends-on", "size", "run-time", "budget", "peak"});
            Service service;
            service.name = uniqueName(item, names, "service");
            service.pool = item.child("pool").name();
            for (const Element &dependency : item.child("depends-on", Presence::Optional).items()) {
                service.dependsOn.push_back(dependency.name());
            }
            service.size = readSize(item.child("size"));
            service.runTime = item.child("run-time").duration(1ms, 24h, 1s);
            service.peakInstances = static_cast<int>(item.child("peak").integer(1, MaxInstances, 1));
            service.availabilityBudget = readBudget(item.child("budget"), service.peakInstances);
            m_serviceElements.emplace(service.name, item);
            m_configuration.services[service.name] = std::move(service);
        }
    }

    int readBudget(const Element &element, int peakInstances)
    {
        if (element.isPresent() && element.text().ends_with('%')) {
            const int budget = static_cast<int>(std::floor(element.fraction(0) * peakInstances));
            if (budget < 1) {
                element.report("the budget allows no instance out, so maintenance can never run",
                               "raise it until it is at least 1 of " + std::to_string(peakInstances) + " instances");
            }
            return budget;
        }
        const int budget = static_cast<int>(element.integer(0, MaxInstances, 1));
        if (element.isPresent() && budget == 0) {
            element.report("the budget allows no instance out, so maintenance can never run", "write at least 1");
        }
        return budget;
    }

    Resources readSize(const Element &element)
    {
        element.allowKeys({"cores", "memory", "accelerators"});
        Resources size;
        size.cores = element.child("cores").real(0, MaxCores, 1);
        size.memoryBytes = element.child("memory").bytes(1, MaxMemoryBytes, 1);
        size.accelerators = element.child("accelerators", Presence::Optional).real(0, MaxAccelerators, 0);
        return size;
    }

    void readTeams(const Element &list)
    {
        std::set<std::string> names;
        for (const Element &item : list.items()) {
            item.allowKeys({"name", "share", "limit"});
            Team team;
            team.name = uniqueName(item, names, "team");
            team.share = item.child("share").fraction(0);
            team.runningLimit = static_cast<int>(item.child("limit").integer(1, MaxRunningLimit, 1));
            m_configuration.teams[team.name] = std::move(team);
        }
    }

    void readPolicy(const Element &element)
    {
        element.allowKeys({"buffer-cost-weight", "share-nearness-weight", "maintenance-period"});
        Policy &policy = m_configuration.policy;
        policy.bufferCostWeight = element.child("buffer-cost-weight", Presence::Optional).real(0, MaxWeight, 1);
        policy.shareNearnessWeight = element.child("share-nearness-weight", Presence::Optional).real(0, MaxWeight, 1);
        const auto period = element.child("maintenance-period", Presence::Optional).duration(1h, 24h * 366, policy.maintenancePeriod);
        policy.maintenancePeriod = std::chrono::duration_cast<std::chrono::hours>(period);
    }

    std::string uniqueName(const Element &item, std::set<std::string> &seen, const std::string &kind)
    {
        const Element element = item.child("name");
        std::string name = element.name();
        if (element.isPresent() && !seen.insert(name).second) {
            element.report("a second " + kind + " is named '" + name + "'", "give each " + kind + " a name of its own");
        }
        return name;
    }

    void checkServices()
    {
        for (const auto &[name, service] : m_configuration.services) {
            const Element &element = m_serviceElements.at(name);
            if (!m_configuration.pools.contains(service.pool)) {
                element.child("pool").report("there is no pool '" + service.pool + "'", "add it under 'pools' or correct the name");
            } else if (m_configuration.pools.at(service.pool).spare) {
                element.child("pool").report("the spare pool serves nothing", "give the service a pool of its own");
            }
            if (service.availabilityBudget >= service.peakInstances && service.peakInstances > 0) {
                element.child("budget").report("the budget lets every instance be out at once",
                                               "keep it under the peak of " + std::to_string(service.peakInstances));
            }
            checkDependencies(service, element);
        }
        for (const std::vector<std::string> &cycle : Details::dependencyCycles(m_configuration)) {
            m_serviceElements.at(cycle.front())
                .report("the dependencies form a cycle: " + Details::joined(cycle, " -> ") + " -> " + cycle.front(), "remove one of these dependencies");
        }
    }

    void checkDependencies(const Service &service, const Element &element)
    {
        std::set<std::string> seen;
        for (const Element &item : element.child("depends-on", Presence::Optional).items()) {
            const std::string dependency = item.text();
            if (!m_configuration.services.contains(dependency)) {
                item.report("there is no service '" + dependency + "'", "add it under 'services' or correct the name");
            }
            if (dependency == service.name) {
                item.report("the service depends on itself", "remove the entry");
            }
            if (!seen.insert(dependency).second) {
                item.report("'" + dependency + "' is listed twice", "keep one of them");
            }
        }
    }

    void checkShares(const Element &root)
    {
        double sum = 0;
        for (const auto &[name, team] : m_configuration.teams) {
            sum += team.share;
        }
        const Element list = root.child("teams", Presence::Optional);
        if (list.isPresent() && !m_configuration.teams.empty() && std::abs(sum - 1.0) > MaxShareSumError) {
            list.report("the shares add up to " + std::to_string(sum * 100.0) + "%", "make them add up to 100%");
        }
        checkLimits(list);
    }

    // With a limit below its share of the instances at peak load, a team could never reach its share.
    void checkLimits(const Element &list)
    {
        int peakInstances = 0;
        for (const auto &[name, service] : m_configuration.services) {
            peakInstances += service.peakInstances;
        }
        for (const Element &item : list.items()) {
            const auto team = m_configuration.teams.find(item.child("name").text());
            if (team == m_configuration.teams.end()) {
                continue;
            }
            const double shareInstances = team->second.share * peakInstances;
            if (team->second.runningLimit < shareInstances) {
                item.child("limit").report("the limit of " + std::to_string(team->second.runningLimit) + " is under the team's share of "
                                               + std::to_string(static_cast<int>(std::ceil(shareInstances))) + " tasks (one for each peak instance)",
                                           "raise the limit or lower the share");
            }
        }
    }

    Document m_document;
    Configuration m_configuration;
    std::map<std::string, Element> m_serviceElements;
};

}

ConfigurationResult readConfiguration(const std::string &fileName, const std::string &text)
{
    if (text.size() > MaxConfigurationTextBytes) {
        ConfigurationResult result;
        result.findings.add({fileName, 0, 0}, "the text is longer than " + std::to_string(MaxConfigurationTextBytes) + " bytes", "shorten it");
        return result;
    }
    return ConfigurationReader(fileName, text).read();
}

}
