#pragma once

#include <string>
#include <vector>

namespace Cornelquay {

/** A position in a text file. Line and column count from 1; line 0 means the file as a whole. */
struct SourceLocation {
    std::string file;
    int line = 0;
    int column = 0;
};

/** One fault of an input, with its location and its remedy. */
struct Finding {
    SourceLocation location;
    std::string problem;
    /** What the user can do about it; may be empty. */
    std::string remedy;
};

/**
 * Collects all faults of an input, so that they are reported together.
 *
 * A checker creates one Findings object for each input, adds faults while it reads, and rejects the
 * input if there are any at the end. Not thread-safe.
 *
 * @code
 * Findings findings;
 * findings.add({"fleet.yaml", 3, 7}, "unknown key 'pol'", "did you mean 'pool'?");
 * if (!findings.isEmpty()) { std::cerr << findings.toText(); }
 * @endcode
 */
class Findings
{
public:
    /** Adds a finding. Findings at the same location keep the order in which they were added. */
    void add(SourceLocation place, std::string problem, std::string remedy);

    bool isEmpty() const;

    /** All findings, sorted by file, line and column. */
    std::vector<Finding> sorted() const;

    /** One line for each finding, sorted like sorted(): "file:line:column: problem; remedy". */
    std::string toText() const;

private:
    std::vector<Finding> m_entries;
};

}
