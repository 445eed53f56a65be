#include "findings/findings.h"

#include <algorithm>
#include <tuple>

namespace Cornelquay {

void Findings::add(SourceLocation place, std::string problem, std::string remedy)
{
    m_entries.push_back({std::move(place), std::move(problem), std::move(remedy)});
}

bool Findings::isEmpty() const
{
    return m_entries.empty();
}

std::vector<Finding> Findings::sorted() const
{
    std::vector<Finding> entries = m_entries;
    std::stable_sort(entries.begin(), entries.end(), [](const Finding &a, const Finding &b) {
        return std::tie(a.location.file, a.location.line, a.location.column) < std::tie(b.location.file, b.location.line, b.location.column);
    });
    return entries;
}

std::string Findings::toText() const
{
    std::string text;
    for (const Finding &finding : sorted()) {
        text += finding.location.file;
        if (finding.location.line > 0) {
            text += ':' + std::to_string(finding.location.line) + ':' + std::to_string(finding.location.column);
        }
        text += ": " + finding.problem;
        if (!finding.remedy.empty()) {
            text += "; " + finding.remedy;
        }
        text += '\n';
    }
    return text;
}

}
