#include "details/recordschedule.h"

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// A successor may lack what was learned in this time.
constexpr auto StoreInterval = 5s;

}

void RecordSchedule::noteStored(std::uint64_t revision)
{
    m_storedRevision = revision;
}

void RecordSchedule::requestStore(std::uint64_t revision)
{
    m_mustStore = revision != 0;
}

void RecordSchedule::noteTaken(std::uint64_t revision, BootTime now)
{
    m_mustStore = false;
    m_nextStoreAt = now + StoreInterval;
    m_storedRevision = revision;
}

bool RecordSchedule::isDue(std::uint64_t revision, BootTime now) const
{
    return m_mustStore || (revision != m_storedRevision && now >= m_nextStoreAt);
}

}
