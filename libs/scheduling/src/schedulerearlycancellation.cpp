#include "details/schedulerimpl.h"
#include "scheduling/scheduler.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace Cornelquay {

std::uint64_t Scheduler::cancelEarly(JobRecord record, std::int64_t wallMs)
{
    Impl &impl = *m_impl;
    const JobId id = record.id;
    JobEntry *entry = impl.findEntry(id);
    if (entry != nullptr && entry->job.record().isSubmitted()) {
        throw std::logic_error("the job is known");
    }
    // Renewed in the second half of the time, so that a client that repeats its cancel does not cause a write each time.
    if (entry != nullptr && wallMs - entry->job.record().closedMs < impl.times.closedJobRetentionPeriod.count() / 2) {
        return entry->stored ? entry->batch : std::max(entry->batch, impl.durableBatch());
    }
    record.spec = {};
    record.submittedMs = wallMs;
    record.closedMs = wallMs;
    record.state = JobState::Cancelled;
    if (entry == nullptr) {
        entry = &impl.jobs.tryEmplace(id, JobEntry(std::move(record))).first->second;
    } else {
        entry->job = Job(std::move(record));
        entry->stored = false;
    }
    impl.markDirty(*entry);
    impl.emitEvent("job-cancelled-early", {id, {}}, 0, {}, entry->job.record().queue);
    return impl.durableBatch();
}

const JobRecord *Scheduler::findEarlyCancellation(const JobId &job) const
{
    const JobEntry *entry = m_impl->findEntry(job);
    return entry == nullptr || entry->job.record().isSubmitted() ? nullptr : &entry->job.record();
}

void Scheduler::Impl::dropEarlyCancellation(const JobId &job)
{
    jobs.erase(jobs.find(job));
    // Otherwise the job would count as stored with the batch of the cancellation.
    for (auto &[batch, states] : batchStates) {
        std::erase_if(states, [&](const auto &state) {
            return state.first == job;
        });
    }
}

}
