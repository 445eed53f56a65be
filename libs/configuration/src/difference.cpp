#include "configuration/difference.h"

namespace Cornelquay {

namespace {

/** Builds the text that lists the fields in which two entries of one section differ. */
class FieldDifferences
{
public:
    template<typename Value>
    void compare(const std::string &field, const Value &before, const Value &after)
    {
        if (before == after) {
            return;
        }
        m_text += m_text.empty() ? "" : ", ";
        m_text += field + ' ' + toText(before) + " -> " + toText(after);
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
    FieldDifferences differences;
    differences.compare("spare", before.spare, after.spare);
    return differences.text();
}

std::string detail(const Service &before, const Service &after)
{
    FieldDifferences differences;
    differences.compare("pool", before.pool, after.pool);
    differences.compare("depends-on", before.dependsOn, after.dependsOn);
    differences.compare("cores", before.size.cores, after.size.cores);
    differences.compare("memory", before.size.memoryBytes, after.size.memoryBytes);
    differences.compare("accelerators", before.size.accelerators, after.size.accelerators);
    differences.compare("run-time", before.runTime, after.runTime);
    differences.compare("budget", before.availabilityBudget, after.availabilityBudget);
    differences.compare("peak", before.peakInstances, after.peakInstances);
    return differences.text();
}

std::string detail(const Team &before, const Team &after)
{
    FieldDifferences differences;
    differences.compare("share", before.share, after.share);
    differences.compare("limit", before.runningLimit, after.runningLimit);
    return differences.text();
}

std::string detail(const Region &before, const Region &after)
{
    FieldDifferences differences;
    differences.compare("zones", before.zones, after.zones);
    return differences.text();
}

std::string detail(const Policy &before, const Policy &after)
{
    FieldDifferences differences;
    differences.compare("buffer-cost-weight", before.bufferCostWeight, after.bufferCostWeight);
    differences.compare("share-nearness-weight", before.shareNearnessWeight, after.shareNearnessWeight);
    differences.compare("maintenance-period", std::chrono::milliseconds(before.maintenancePeriod), std::chrono::milliseconds(after.maintenancePeriod));
    return differences.text();
}

template<typename Entry>
void compareSection(const std::string &section,
                    const std::map<std::string, Entry> &before,
                    const std::map<std::string, Entry> &after,
                    std::vector<ConfigurationChange> &changes)
{
    for (const auto &[name, entry] : before) {
        const auto found = after.find(name);
        if (found == after.end()) {
            changes.push_back({ChangeKind::Removed, section, name, {}});
        } else if (!(entry == found->second)) {
            changes.push_back({ChangeKind::Changed, section, name, detail(entry, found->second)});
        }
    }
    for (const auto &[name, entry] : after) {
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
