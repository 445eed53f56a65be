#pragma once

#include "timing/instant.h"

#include <cstdint>

namespace Cornelquay {

/**
 * Decides when a learned history is stored for a successor: at most once in 5 s, and only if its revision has changed. Not
 * thread-safe.
 */
class RecordSchedule
{
public:
    // Commands.
    /** The record of @p revision is in the store. */
    void noteStored(std::uint64_t revision);
    /** The record has to be stored with the next batch, because the batch goes to another partition. */
    void requestStore(std::uint64_t revision);
    /** The record of @p revision is given to the store. */
    void noteTaken(std::uint64_t revision, BootTime now);

    // Queries.
    bool isDue(std::uint64_t revision, BootTime now) const;

private:
    std::uint64_t m_storedRevision = 0;
    BootTime m_nextStoreAt{};
    bool m_mustStore = false;
};

}
