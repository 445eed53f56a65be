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

/** Whether a key must be there. */
enum class Presence {
    Required,
    Optional,
};

/**
 * One value of a checked YAML document: a scalar, a list or a map.
 *
 * Every accessor checks type and range; what is wrong is added to the document's findings and a
 * fallback is returned, so that a reader runs through to the end and all faults are reported in
 * one pass. An absent element (see isPresent()) returns fallbacks without any finding.
 * Valid as long as the Document that it came from.
 */
class Element
{
public:
    bool isPresent() const;
    SourcePlace place() const;

    /** Adds a finding at this element's place. */
    void report(std::string problem, std::string remedy) const;

    /** The value of @p key in a map; an absent element if it is missing (a finding if required). */
    Element child(std::string_view key, Presence presence = Presence::Required) const;
    /** Adds a finding for each key of this map that is not one of @p keys. */
    void allowKeys(std::initializer_list<std::string_view> keys) const;
    /** The members of a list. */
    std::vector<Element> items() const;

    std::string text(std::string fallback = {}) const;
    /** A name: letters, digits, '-', '_' and '.', at most 64 characters. */
    std::string name() const;
    std::int64_t integer(std::int64_t least, std::int64_t most, std::int64_t fallback) const;
    double real(double least, double most, double fallback) const;
    bool boolean(bool fallback) const;
    /** A percentage such as "30%", as a fraction from 0 to 1. */
    double fraction(double fallback) const;
    /** A time span with its unit: ms, s, min, h, d. */
    std::chrono::milliseconds duration(std::chrono::milliseconds least, std::chrono::milliseconds most, std::chrono::milliseconds fallback) const;
    /** A size with its unit: B, KiB, MiB, GiB, TiB. In bytes. */
    std::uint64_t bytes(std::uint64_t least, std::uint64_t most, std::uint64_t fallback) const;

private:
    friend class Document;
    struct Impl;
    explicit Element(std::shared_ptr<const Impl> impl);
    std::shared_ptr<const Impl> m_impl;
};

/**
 * A YAML text together with the findings about it.
 *
 * Created per input; parse errors and duplicate keys are found on creation. Not thread-safe.
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
