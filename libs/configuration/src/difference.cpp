#include "configuration/difference.h"

namespace Cornelquay {

namespace {

/** Collects what differs between two things of one kind. */
class Detail
{
public:
    template<typename Value>
    void compare(const std::string &what, const Value &before, const Value &after)
    {
        if (before == after) {
            return;
        }
        m_text += m_text.empty() ? "" : ", ";
        m_text += what + ' ' + toText(before) + " -> " + toText(after);
    }

    const std::string &text() const
    {
        return m_text;
    }

private:
    static std::string toText(const std::string &value)
    {
        return value;
    }
    static std::string toText(bool value)
    {
        return value ? "true" : "false";
    }
    static std::string toText(std::chrono::milliseconds value)
    {
        return std::to_string(value.count()) + "ms";
    }
    static std::string toText(const std::vector<std::string> &values)
    {
        std::string text = "[";
        for (const std::string &value : values) {
            text += text.size() == 1 ? value : ", " + value;
        }
        return text + ']';
    }
    template<typename Number>
    static std::string toText(Number value)
    {
        return std::to_string(value);
    }

    std::string m_text;
};

std::string detail(const Pool &before, const Pool &after)
{
    Detail detail;
    detail.compare("spare", before.spare, after.spare);
    return detail.text();
}

std::string detail(const Service &before, const Service &after)
{
    Detail detail;
    detail.compare("pool", before.pool, after.pool);
    detail.compare("depends-on", before.dependsOn, after.dependsOn);
    detail.compare("cores", before.size.cores, after.size.cores);
    detail.compare("memory", before.size.memoryBytes, after.size.memoryBytes);
    detail.compare("accelerators", before.size.accelerators, after.size.accelerators);
    detail.compare("run-time", before.runTime, after.runTime);
    detail.compare("budget", before.availabilityBudget, after.availabilityBudget);
    detail.compare("peak", before.peakInstances, after.peakInstances);
    return detail.text();
}

std::string detail(const Team &before, const Team &after)
{
    Detail detail;
    detail.compare("share", before.share, after.share);
    detail.compare("limit", before.runningLimit, after.runningLimit);
    return detail.text();
}

std::string detail(const Region &before, const Region &after)
{
    Detail detail;
    detail.compare("zones", before.zones, after.zones);
    return detail.text();
}

std::string detail(const Policy &before, const Policy &after)
{
    Detail detail;
    detail.compare("buffer-cost-weight", before.bufferCostWeight, after.bufferCostWeight);
    detail.compare("share-nearness-weight", before.shareNearnessWeight, after.shareNearnessWeight);
    detail.compare("maintenance-period", std::chrono::milliseconds(before.maintenancePeriod), std::chrono::milliseconds(after.maintenancePeriod));
    return detail.text();
}

template<typename Thing>
void compareSection(const std::string &section,
                    const std::map<std::string, Thing> &before,
                    const std::map<std::string, Thing> &after,
                    std::vector<ConfigurationChange> &changes)
{
    for (const auto &[name, thing] : before) {
        const auto found = after.find(name);
        if (found == after.end()) {
            changes.push_back({ChangeKind::Removed, section, name, {}});
        } else if (!(thing == found->second)) {
            changes.push_back({ChangeKind::Changed, section, name, detail(thing, found->second)});
        }
    }
    for (const auto &[name, thing] : after) {
        if (!before.contains(name)) {
            changes.push_back({ChangeKind::Added, section, name, {}});
        }
    }
}

std::map<std::string, Region> byName(const std::vector<Region> &regions)
{
    std::map<std::string, Region> result;
    for (const Region &region : regions) {
        result[region.name] = region;
    }
    return result;
}

}

std::string toName(ChangeKind kind)
{
    switch (kind) {
    case ChangeKind::Added:
        return "added";
    case ChangeKind::Removed:
        return "removed";
    case ChangeKind::Changed:
        return "changed";
    }
    return {};
}

std::vector<ConfigurationChange> difference(const Configuration &before, const Configuration &after)
{
    std::vector<ConfigurationChange> changes;
    compareSection("region", byName(before.regions), byName(after.regions), changes);
    compareSection("pool", before.pools, after.pools, changes);
    compareSection("service", before.services, after.services, changes);
    compareSection("team", before.teams, after.teams, changes);
    if (!(before.policy == after.policy)) {
        changes.push_back({ChangeKind::Changed, "policy", "policy", detail(before.policy, after.policy)});
    }
    return changes;
}

}
