#pragma once

#include <string>
#include <vector>

namespace Cornelquay {

/** A position in a text file. Line and column count from 1; 0 means "the file as a whole". */
struct SourcePlace {
    std::string file;
    int line = 0;
    int column = 0;
};

/** One thing that is wrong in an input, where it is, and what to do about it. */
struct Finding {
    SourcePlace place;
    std::string problem;
    std::string remedy;
};

/**
 * Collects everything that is wrong with an input, so that all of it is reported together.
 *
 * A checker creates one Findings per input, adds to it while it reads on, and rejects the input
 * if it is not empty at the end. Not thread-safe.
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
    /** Adds a finding; order of addition is kept. */
    void add(SourcePlace place, std::string problem, std::string remedy);

    bool isEmpty() const;

    /** All findings, sorted by place. */
    std::vector<Finding> sorted() const;

    /** One line per finding: "file:line:column: problem; remedy". Sorted by place. */
    std::string toText() const;

private:
    std::vector<Finding> m_entries;
};

}
