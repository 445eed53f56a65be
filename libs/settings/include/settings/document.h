#pragma once

#include "findings/findings.h"

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Cornelquay {

/** Whether a missing key is a finding. */
enum class Presence {
    Required,
    Optional,
};

/**
 * One value of a checked YAML document: a scalar, a list or a map.
 *
 * Every accessor checks type and range. On a fault it adds a finding to the document's findings and
 * returns the fallback, so that one pass over the document reports all faults. An absent element
 * (see isPresent()) returns the fallback without a finding. Ranges include both bounds.
 * Valid as long as the Document that it came from. Not thread-safe.
 */
class Element
{
public:
    bool isPresent() const;
    SourceLocation location() const;

    /** Adds a finding at this element's location. */
    void report(std::string problem, std::string remedy) const;

    /** The value of @p key in a map. An absent element if the key is missing; also a finding if it is required. */
    Element child(std::string_view key, Presence presence = Presence::Required) const;
    /** Adds a finding for each key of this map that is not one of @p keys. */
    void allowKeys(std::initializer_list<std::string_view> keys) const;
    /** The members of a list. */
    std::vector<Element> items() const;

    std::string text(std::string fallback = {}) const;
    /** A name: 1 to 64 letters, digits, '-', '_' or '.'. Returns the text also if it is not a valid name. */
    std::string name() const;
    std::int64_t integer(std::int64_t minimum, std::int64_t maximum, std::int64_t fallback) const;
    double real(double minimum, double maximum, double fallback) const;
    bool boolean(bool fallback) const;
    /** A percentage such as "30%", as a fraction from 0 to 1. */
    double fraction(double fallback) const;
    /** A duration with its unit: ms, s, min, h or d. */
    std::chrono::milliseconds duration(std::chrono::milliseconds minimum, std::chrono::milliseconds maximum, std::chrono::milliseconds fallback) const;
    /** A size with its unit: B, KiB, MiB, GiB or TiB. In bytes. */
    std::uint64_t bytes(std::uint64_t minimum, std::uint64_t maximum, std::uint64_t fallback) const;

private:
    friend class Document;
    struct Impl;
    explicit Element(std::shared_ptr<const Impl> impl);
    std::shared_ptr<const Impl> m_impl;
};

/**
 * A parsed YAML text together with its findings.
 *
 * The constructor reports syntax errors, duplicate keys and excessive nesting. Not thread-safe.
 *
 * @code
 * Document document("node.yaml", text);
 * const std::string zone = document.root().child("zone").name();
 * if (!document.findings().isEmpty()) { ... }
 * @endcode
 */
class Document
{
public:
    Document(std::string fileName, const std::string &text);
    ~Document();
    Document(const Document &) = delete;
    Document &operator=(const Document &) = delete;

    Element root() const;
    Findings &findings();

private:
    std::unique_ptr<Findings> m_findings;
    std::shared_ptr<const Element::Impl> m_root;
};

}
