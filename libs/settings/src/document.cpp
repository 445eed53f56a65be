#include "settings/document.h"

#include "details/units.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <set>

namespace Cornelquay {

namespace {

constexpr std::size_t MaxNameLength = 64;

/** Deeper than any valid document; limits the recursion over untrusted input. */
constexpr int MaxNestingDepth = 32;

bool isNameCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
}

SourceLocation locationOf(const std::string &file, const YAML::Mark &mark)
{
    if (mark.is_null()) {
        return {file, 0, 0};
    }
    return {file, mark.line + 1, mark.column + 1};
}

// yaml-cpp accepts duplicate keys without an error, so this function reports them.
void reportDuplicateKeys(const std::string &file, const YAML::Node &node, int depth, Findings &findings)
{
    if (depth > MaxNestingDepth) {
        findings.add(locationOf(file, node.Mark()), "nested too deeply", "at most " + std::to_string(MaxNestingDepth) + " levels are read");
        return;
    }
    if (node.IsSequence()) {
        for (const YAML::Node &item : node) {
            reportDuplicateKeys(file, item, depth + 1, findings);
        }
        return;
    }
    if (!node.IsMap()) {
        return;
    }
    std::set<std::string> seen;
    for (const auto &entry : node) {
        if (!entry.first.IsScalar()) {
            findings.add(locationOf(file, entry.first.Mark()), "a key must be plain text", "write the key as one word");
            continue;
        }
        if (!seen.insert(entry.first.Scalar()).second) {
            findings.add(locationOf(file, entry.first.Mark()), "duplicate key '" + entry.first.Scalar() + "'", "keep one of them");
        }
        reportDuplicateKeys(file, entry.second, depth + 1, findings);
    }
}

}

struct Element::Impl {
    YAML::Node node;
    bool present = false;
    std::string file;
    std::string path;
    Findings *findings = nullptr;
};

Element::Element(std::shared_ptr<const Impl> impl)
    : m_impl(std::move(impl))
{
}

bool Element::isPresent() const
{
    return m_impl->present;
}

SourceLocation Element::location() const
{
    return locationOf(m_impl->file, m_impl->node.Mark());
}

void Element::report(std::string problem, std::string remedy) const
{
    const std::string prefix = m_impl->path.empty() ? std::string() : "'" + m_impl->path + "': ";
    m_impl->findings->add(location(), prefix + std::move(problem), std::move(remedy));
}

Element Element::child(std::string_view key, Presence presence) const
{
    auto impl = std::make_shared<Impl>();
    impl->file = m_impl->file;
    impl->findings = m_impl->findings;
    impl->path = m_impl->path.empty() ? std::string(key) : m_impl->path + '.' + std::string(key);
    if (!m_impl->present) {
        return Element(std::move(impl));
    }
    if (!m_impl->node.IsMap()) {
        if (presence == Presence::Required) {
            report("must be a map with the key '" + std::string(key) + "'", "write 'key: value' lines");
        }
        return Element(std::move(impl));
    }
    for (const auto &entry : m_impl->node) {
        if (entry.first.IsScalar() && entry.first.Scalar() == key) {
            impl->node = entry.second;
            impl->present = true;
            return Element(std::move(impl));
        }
    }
    if (presence == Presence::Required) {
        report("the key '" + std::string(key) + "' is missing", "add it");
    }
    return Element(std::move(impl));
}

void Element::allowKeys(std::initializer_list<std::string_view> keys) const
{
    if (!m_impl->present) {
        return;
    }
    if (!m_impl->node.IsMap()) {
        report("must be a map", "write 'key: value' lines");
        return;
    }
    std::string known;
    for (std::string_view key : keys) {
        known += known.empty() ? std::string(key) : ", " + std::string(key);
    }
    for (const auto &entry : m_impl->node) {
        if (!entry.first.IsScalar()) {
            continue;
        }
        const std::string &key = entry.first.Scalar();
        if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
            m_impl->findings->add(locationOf(m_impl->file, entry.first.Mark()), "unknown key '" + key + "'", "known here: " + known);
        }
    }
}

std::vector<Element> Element::items() const
{
    std::vector<Element> result;
    if (!m_impl->present) {
        return result;
    }
    if (!m_impl->node.IsSequence()) {
        report("must be a list", "write '- item' lines or [a, b]");
        return result;
    }
    for (const YAML::Node &item : m_impl->node) {
        auto impl = std::make_shared<Impl>();
        impl->node = item;
        impl->present = true;
        impl->file = m_impl->file;
        impl->findings = m_impl->findings;
        impl->path = m_impl->path + '[' + std::to_string(result.size()) + ']';
        result.push_back(Element(std::move(impl)));
    }
    return result;
}

std::string Element::text(std::string fallback) const
{
    if (!m_impl->present) {
        return fallback;
    }
    if (!m_impl->node.IsScalar()) {
        report("must be text", "write one value");
        return fallback;
    }
    return m_impl->node.Scalar();
}

std::string Element::name() const
{
    std::string value = text();
    if (!m_impl->present || !m_impl->node.IsScalar()) {
        return value;
    }
    if (value.empty() || value.size() > MaxNameLength || !std::all_of(value.begin(), value.end(), isNameCharacter)) {
        report("'" + value.substr(0, MaxNameLength) + "' is not a name", "use 1 to 64 letters, digits, '-', '_' or '.'");
    }
    return value;
}

std::int64_t Element::integer(std::int64_t minimum, std::int64_t maximum, std::int64_t fallback) const
{
    if (!m_impl->present) {
        return fallback;
    }
    const std::string value = text();
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (error != std::errc() || end != value.data() + value.size() || number < minimum || number > maximum) {
        report("'" + value + "' is not allowed", "write a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return fallback;
    }
    return number;
}

double Element::real(double minimum, double maximum, double fallback) const
{
    if (!m_impl->present) {
        return fallback;
    }
    const std::string value = text();
    const std::optional<double> number = Details::parseReal(value);
    if (!number || *number < minimum || *number > maximum) {
        report("'" + value + "' is not allowed", "write a number from " + Details::formatReal(minimum) + " to " + Details::formatReal(maximum));
        return fallback;
    }
    return *number;
}

bool Element::boolean(bool fallback) const
{
    if (!m_impl->present) {
        return fallback;
    }
    const std::string value = text();
    if (value != "true" && value != "false") {
        report("'" + value + "' is not allowed", "write true or false");
        return fallback;
    }
    return value == "true";
}

double Element::fraction(double fallback) const
{
    if (!m_impl->present) {
        return fallback;
    }
    const std::string value = text();
    const std::optional<double> share = Details::parsePercentage(value);
    if (!share) {
        report("'" + value + "' is not a percentage", "write 0% to 100%, such as 30%");
        return fallback;
    }
    return *share;
}

std::chrono::milliseconds Element::duration(std::chrono::milliseconds minimum, std::chrono::milliseconds maximum, std::chrono::milliseconds fallback) const
{
    if (!m_impl->present) {
        return fallback;
    }
    const std::string value = text();
    const std::optional<std::chrono::milliseconds> span = Details::parseDuration(value);
    if (!span) {
        report("'" + value + "' is not a time span", "write a number with ms, s, min, h or d, such as 250ms");
        return fallback;
    }
    if (*span < minimum || *span > maximum) {
        report("'" + value + "' is out of range", "write " + std::to_string(minimum.count()) + "ms to " + std::to_string(maximum.count()) + "ms");
        return fallback;
    }
    return *span;
}

std::uint64_t Element::bytes(std::uint64_t minimum, std::uint64_t maximum, std::uint64_t fallback) const
{
    if (!m_impl->present) {
        return fallback;
    }
    const std::string value = text();
    const std::optional<std::uint64_t> size = Details::parseBytes(value);
    if (!size) {
        report("'" + value + "' is not a size", "write a number with B, KiB, MiB, GiB or TiB, such as 4GiB");
        return fallback;
    }
    if (*size < minimum || *size > maximum) {
        report("'" + value + "' is out of range", "write " + std::to_string(minimum) + "B to " + std::to_string(maximum) + "B");
        return fallback;
    }
    return *size;
}

Document::Document(std::string fileName, const std::string &text)
    : m_findings(std::make_unique<Findings>())
{
    auto impl = std::make_shared<Element::Impl>();
    impl->file = std::move(fileName);
    impl->findings = m_findings.get();
    try {
        impl->node = YAML::Load(text);
        impl->present = impl->node.IsDefined() && !impl->node.IsNull();
        if (impl->present) {
            reportDuplicateKeys(impl->file, impl->node, 0, *m_findings);
        } else {
            m_findings->add({impl->file, 0, 0}, "the document is empty", "see the samples folder for a complete one");
        }
    } catch (const YAML::Exception &error) {
        m_findings->add(locationOf(impl->file, error.mark), "not valid YAML: " + error.msg, "correct the syntax");
        impl->node = YAML::Node();
        impl->present = false;
    }
    m_root = std::move(impl);
}

Document::~Document() = default;

Element Document::root() const
{
    return Element(m_root);
}

Findings &Document::findings()
{
    return *m_findings;
}

}
