#include "details/explanationtext.h"

#include <array>
#include <map>
#include <string_view>

namespace Cornelquay::Details {

namespace {

using Json = nlohmann::ordered_json;

constexpr double PerThousand = 1000.0;

/** What the words of the answer mean, for people. */
const std::map<std::string_view, std::string_view> Meanings{
    {"no-worker", "no worker of the pool is chosen"},
    {"account-at-cap", "the account would exceed its cap"},
    {"awaits-permission", "the advice service must permit workers first"},
    {"gang-does-not-fit", "the tasks do not fit together at present"},
    {"zones-not-read", "the owner has not read the evacuated zones yet"},
    {"not-admitted", "the job would be refused"},
    {"not-due", "the first occurrence is not due"},
    {"none", "long-running, has no run time"},
    {"estimate", "the submitter's estimate"},
    {"queue", "finished runs of the queue"},
    {"account", "finished runs of the account in the queue"},
    {"image", "finished runs of the image"},
    {"step", "finished tasks of the step"},
    {"not-registered", "registration was removed"},
    {"unreachable", "does not answer"},
    {"not-confirmed", "has not answered this owner yet"},
    {"lease-not-extended", "its lease must not be extended"},
    {"draining", "draining"},
    {"avoided", "gets no work for some time after a failure"},
    {"zone-evacuated", "zone is evacuated"},
    {"cordoned", "is to be moved or maintained"},
    {"not-permitted", "not permitted by the advice service"},
    {"no-capacity", "not enough free capacity"},
    {"label-missing", "lacks the required label"},
    {"kept-for-suspect", "kept for a job that may crash its worker"},
    {"kept-for-larger-task", "kept for a larger task"},
    {"step-limit", "has as many tasks of the step as one worker may have"},
    {"other-is-better", "another worker is better"},
};

std::string meaningOf(const std::string &word)
{
    const auto found = Meanings.find(word);
    return found == Meanings.end() ? word : std::string(found->second);
}

std::string decimal(double value)
{
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.1f", value);
    return {text.data(), static_cast<std::size_t>(length)};
}

const Json &member(const Json &object, const char *name)
{
    static const Json None;
    const auto found = object.is_object() ? object.find(name) : object.end();
    return !object.is_object() || found == object.end() ? None : *found;
}

std::string text(const Json &object, const char *name)
{
    const Json &value = member(object, name);
    return value.is_string() ? value.get<std::string>() : value.is_null() ? std::string() : value.dump();
}

std::int64_t number(const Json &object, const char *name)
{
    const Json &value = member(object, name);
    return value.is_number() ? value.get<std::int64_t>() : 0;
}

/** A time in seconds; "never" if it is null. */
std::string age(const Json &object, const char *name)
{
    const Json &value = member(object, name);
    return value.is_number() ? decimal(value.get<double>() / PerThousand) + " s ago" : "never";
}

std::string seconds(const Json &object, const char *name)
{
    return decimal(static_cast<double>(number(object, name)) / PerThousand) + " s";
}

std::string resources(const Json &amount)
{
    std::string result
        = decimal(static_cast<double>(number(amount, "cpu-millicores")) / PerThousand) + " cores, " + std::to_string(number(amount, "memory-mib")) + " MiB";
    return number(amount, "gpus") == 0 ? result : result + ", " + std::to_string(number(amount, "gpus")) + " GPUs";
}

/** A cap, in which a resource of 0 has no limit. */
std::string cap(const Json &amount)
{
    std::string result;
    const auto add = [&](const std::string &part) {
        result += (result.empty() ? "" : ", ") + part;
    };
    if (number(amount, "cpu-millicores") != 0) {
        add(decimal(static_cast<double>(number(amount, "cpu-millicores")) / PerThousand) + " cores");
    }
    if (number(amount, "memory-mib") != 0) {
        add(std::to_string(number(amount, "memory-mib")) + " MiB");
    }
    if (number(amount, "gpus") != 0) {
        add(std::to_string(number(amount, "gpus")) + " GPUs");
    }
    return result.empty() ? "no cap" : "cap " + result;
}

std::string tasks(std::int64_t count)
{
    return std::to_string(count) + (count == 1 ? " task" : " tasks");
}

std::string renderAdmission(const Json &admission)
{
    if (member(admission, "accepted") == Json(true)) {
        return "admission: accepted\n";
    }
    return "admission: refused with " + text(admission, "status") + ", retry after " + seconds(admission, "retry-after-ms") + ": " + text(admission, "reason")
        + '\n';
}

std::string renderAccount(const Json &limits)
{
    std::string result = "account: uses " + resources(member(limits, "used")) + "; " + cap(member(limits, "cap")) + "; weight " + text(limits, "weight") + '\n';
    const Json &share = member(limits, "share");
    if (share.is_object()) {
        result += "share of the full pool: " + text(share, "used") + " of " + text(share, "entitlement") + " used, " + text(share, "waiting") + " waiting ("
            + text(share, "resource") + ", in thousandths of a core, MiB or devices)\n";
    }
    return result;
}

std::string renderOrder(const Json &order)
{
    const Json &work = member(order, "work-ahead");
    return "order: " + text(order, "jobs-ahead") + " jobs ahead with " + decimal(static_cast<double>(number(work, "cpu-millicore-s")) / PerThousand)
        + " core-seconds of work; takes " + seconds(order, "chain-ms") + " by itself, objective " + seconds(order, "objective-ms")
        + (member(order, "beyond-agreed-rate") == Json(true) ? "; beyond the agreed rate" : "") + '\n';
}

std::string renderSteps(const Json &steps)
{
    std::string result;
    for (const Json &step : steps) {
        result += "step " + text(step, "step") + ": " + tasks(number(step, "tasks")) + ", expected run time " + text(step, "expected-run-ms") + " ms ("
            + meaningOf(text(step, "basis")) + ")\n";
    }
    return result;
}

std::string renderPlacement(const Json &groups)
{
    std::string result = "tasks of the first step:\n";
    for (const Json &group : groups) {
        const std::string outcome = text(group, "outcome");
        result += "  " + tasks(number(group, "tasks")) + (outcome == "placed" ? " on " + text(group, "worker") : " without a worker: " + meaningOf(outcome))
            + '\n';
    }
    return result;
}

std::string renderRejected(const Json &rejected)
{
    const Json &counts = member(rejected, "by-reason");
    if (counts.empty()) {
        return {};
    }
    std::string result = "other workers of the pool:\n";
    for (const auto &[reason, count] : counts.items()) {
        result += "  " + count.dump() + " " + reason + ": " + meaningOf(reason);
        std::string names;
        for (const Json &candidate : member(rejected, "named")) {
            if (text(candidate, "reason") == reason) {
                names += (names.empty() ? "" : "; ") + text(candidate, "worker") + " (free " + resources(member(candidate, "free")) + ")";
            }
        }
        result += (names.empty() ? "" : ", such as " + names) + '\n';
    }
    return result;
}

std::string renderViews(const Json &views)
{
    const Json &configuration = member(views, "configuration");
    const Json &workers = member(views, "workers");
    const Json &zones = member(views, "evacuated-zones");
    const Json &ownership = member(views, "ownership");
    return "what the owner knows:\n  configuration " + text(configuration, "version") + ", taken up " + age(configuration, "age-ms") + "\n  "
        + text(workers, "usable") + " of " + text(workers, "of-pool") + " workers of the pool accept work; registry changed " + age(workers, "registry-age-ms")
        + ", latest answer of a worker " + age(workers, "newest-answer-age-ms") + ", of the quietest one " + age(workers, "oldest-answer-age-ms") + "\n  "
        + text(zones, "zones") + " evacuated zones, read " + age(zones, "age-ms") + "\n  ownership epoch " + text(ownership, "epoch") + ", taken over "
        + age(ownership, "age-ms") + ", confirmed " + age(ownership, "confirmed-age-ms") + '\n';
}

std::string renderNode(const Json &node)
{
    const std::string owner = text(node, "owner");
    return "asked node " + text(node, "name") + ": " + (owner.empty() ? "knows no owner" : "owner is " + owner + ", epoch " + text(node, "owner-epoch"))
        + ", ownership read " + age(node, "ownership-age-ms") + ", configuration " + text(node, "configuration-version") + " taken up "
        + age(node, "configuration-age-ms") + ", operators' records read " + age(node, "operator-records-age-ms") + '\n';
}

}

std::string renderExplanation(const Json &answer)
{
    std::string result;
    if (answer.contains("error")) {
        result = "error: " + text(answer, "error") + '\n';
    } else {
        result = "a job of account " + text(answer, "account") + " for queue " + text(answer, "queue") + ", pool " + text(answer, "pool") + '\n'
            + renderAdmission(member(answer, "admission")) + renderAccount(member(answer, "account-limits")) + renderOrder(member(answer, "order"))
            + renderSteps(member(answer, "steps")) + renderPlacement(member(answer, "first-step")) + renderRejected(member(answer, "rejected-workers"))
            + renderViews(member(answer, "views"));
    }
    const Json &node = member(answer, "node");
    return node.is_object() ? result + renderNode(node) : result;
}

}
