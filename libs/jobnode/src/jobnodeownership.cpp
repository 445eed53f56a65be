#include "details/jobnodeimpl.h"

#include <asio/post.hpp>

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

constexpr auto OwnershipReadRetryDelay = 200ms;
// While there is no owner, a node checks at this interval whether its claim is due.
constexpr auto ClaimCheckInterval = 50ms;
// A node is considered running, and so a possible successor, if its latest forwarded call is more recent than this.
constexpr auto MaxSuccessorCallAge = 2s;
// Short, as no other node takes over before the release is stored or OwnershipTimes::ownerTimeout has passed.
constexpr auto ReleaseRetryDelay = 80ms;

}

void JobNode::Impl::runAfter(std::chrono::milliseconds delay, std::function<void()> action)
{
    timer.expires_after(delay);
    timer.async_wait([self = shared_from_this(), action = std::move(action)](const asio::error_code &error) {
        if (!error && !self->stopped) {
            action();
        }
    });
}

void JobNode::Impl::readNewestOwnership()
{
    store.newestOwnership(onOwnershipPage());
}

void JobNode::Impl::followOwnership()
{
    store.followOwnership(view.endOffset(), view.readWait(BootClock::now()), onOwnershipPage());
}

// The waiting read may have lost its answer, and until it times out each heartbeat would conflict again.
void JobNode::Impl::rereadOwnership()
{
    store.newestOwnership([self = shared_from_this()](const tl::expected<OwnershipPage, StoreFailure> &page) {
        if (self->stopped || !page) {
            return;
        }
        self->notePage(*page);
        if (self->jobOwner) {
            self->scheduleHeartbeat(0ms);
        }
    });
}

std::function<void(const tl::expected<OwnershipPage, StoreFailure> &)> JobNode::Impl::onOwnershipPage()
{
    return [self = shared_from_this()](const tl::expected<OwnershipPage, StoreFailure> &page) {
        if (self->stopped) {
            return;
        }
        if (!page) {
            self->view.noteFailure();
            self->runAfter(OwnershipReadRetryDelay, [self] {
                self->readNewestOwnership();
            });
            return;
        }
        self->notePage(*page);
        self->followOwnership();
    };
}

// A read alone does not confirm the ownership, as it may show an earlier state of the log. A record of this ownership does: it was
// appended after the oldest heartbeat that is not confirmed was sent.
void JobNode::Impl::notePage(const OwnershipPage &page)
{
    const std::optional<OwnershipRecord> previousOwner = view.owner();
    view.notePage(page, BootClock::now());
    const std::optional<OwnershipRecord> &owner = view.owner();
    const bool changed = owner && (!previousOwner || previousOwner->epoch != owner->epoch || previousOwner->released != owner->released);
    if (changed) {
        logChange("node",
                  "owner",
                  {{"node", owner->node},
                   {"epoch", std::to_string(owner->epoch)},
                   {"released", owner->released ? "true" : "false"},
                   {"successor", owner->successor}});
    }
    if (jobOwner && owner && owner->epoch > jobOwner->epoch()) {
        endOwnership("a later owner is in the log");
    } else if (jobOwner && owner && isOwn(*owner) && owner->epoch == jobOwner->epoch() && view.endOffset() > confirmedEndOffset && unconfirmedSentAt) {
        confirmedEndOffset = view.endOffset();
        jobOwner->noteStoreContact(*unconfirmedSentAt);
    }
    dialOwner();
    claimIfDue();
}

void JobNode::Impl::claimIfDue()
{
    if (jobOwner || claiming || releasing || stopped || !configuration) {
        return;
    }
    const BootTime now = BootClock::now();
    if (view.owner() && isOwn(*view.owner())) {
        // The log has this node's claim, so it was stored even if its answer was lost. A new claim is needed if the
        // ownership of that epoch has already ended.
        if (view.owner()->epoch > lastEndedEpoch && !view.owner()->released) {
            beginOwnership(view.owner()->epoch - 1);
        } else {
            claim();
        }
        return;
    }
    const bool continuesOwnOwnership = view.hasReadLog() && view.owner() && isPreviousIncarnation(*view.owner()) && !view.owner()->released;
    if (continuesOwnOwnership || view.shouldClaim(now)) {
        claim();
        return;
    }
    if (view.hasReadLog() && (!view.owner() || view.owner()->released)) {
        heartbeatTimer.expires_after(ClaimCheckInterval);
        heartbeatTimer.async_wait([self = shared_from_this()](const asio::error_code &error) {
            if (!error) {
                self->claimIfDue();
            }
        });
    }
}

OwnershipRecord JobNode::Impl::ownRecord() const
{
    OwnershipRecord record;
    record.node = settings.name;
    record.incarnation = incarnation;
    record.address = toText(Address{settings.peerAddress.host, mesh->port()});
    record.epoch = jobOwner ? jobOwner->epoch() : view.endOffset() + 1;
    if (jobOwner) {
        record.jobsPartition = jobOwner->jobsPartition();
    } else if (view.owner()) {
        record.jobsPartition = view.owner()->jobsPartition;
    }
    return record;
}

// How long the predecessor's leases may still last, counted from its fence: an owner extends leases only for
// maxContactAgeForLeases after the latest store call that confirmed its ownership.
PredecessorLeases JobNode::Impl::predecessorLeases() const
{
    PredecessorLeases leases;
    if (!predecessor) {
        return leases;
    }
    const LeaseTerms &terms = settings.schedulerTimes.lease;
    const auto maxLeaseDuration = std::chrono::duration_cast<std::chrono::milliseconds>(terms.maxLifetime * (1.0 + terms.clockSlowness)) + terms.margin;
    const std::chrono::milliseconds recordAge = BootClock::now() - predecessorRecordAt;
    const std::chrono::milliseconds extensionPeriod
        = predecessor->released || isPreviousIncarnation(*predecessor) ? 0ms : std::chrono::milliseconds(settings.ownershipTimes.maxContactAgeForLeases);
    // A predecessor that did not release the ownership may have extended leases until now, however old its record is: an earlier
    // process of this node until it ended, another node because it may have had other confirmations of its ownership.
    const std::chrono::milliseconds elapsed = predecessor->released ? recordAge : 0ms;
    leases.otherWorkers = std::max<std::chrono::milliseconds>(0ms, extensionPeriod + maxLeaseDuration - elapsed);
    for (const auto &[worker, leaseLeftMs] : predecessor->unreachableWorkers) {
        leases.unreachable[worker] = std::max<std::chrono::milliseconds>(0ms, std::chrono::milliseconds(leaseLeftMs) - recordAge);
    }
    return leases;
}

bool JobNode::Impl::isPreviousIncarnation(const OwnershipRecord &record) const
{
    return record.node == settings.name && record.incarnation != incarnation;
}

InstanceHandOver JobNode::Impl::instanceHandOver() const
{
    InstanceHandOver handOver;
    // All recent orders are known if there was no predecessor or if it listed them when it released the ownership. Orders
    // of this node's own earlier ownership need no delay: it continues them under a higher epoch.
    handOver.isComplete = !predecessor || predecessor->released || predecessor->node == settings.name;
    handOver.predecessorEnded = !predecessor || predecessor->released || isPreviousIncarnation(*predecessor);
    handOver.predecessorPermission = settings.ownershipTimes.maxContactAgeForInstances;
    handOver.predecessorEpoch = predecessor ? predecessor->epoch : 0;
    handOver.continuesOwn = predecessor && predecessor->node == settings.name;
    if (predecessor && predecessor->node != settings.name) {
        for (const auto &[instance, recordAge] : predecessor->recentInstanceOrders) {
            handOver.blockedUntil[instance] = predecessorRecordAt + settings.instanceTimes.handOverDelay - std::chrono::milliseconds(recordAge);
        }
    }
    return handOver;
}

bool JobNode::Impl::isOwn(const OwnershipRecord &record) const
{
    return record.node == settings.name && record.incarnation == incarnation;
}

void JobNode::Impl::claim()
{
    claiming = true;
    predecessor = view.owner();
    predecessorRecordAt = view.lastRecordAt();
    const std::uint64_t endOffset = view.endOffset();
    logChange("node", "claiming ownership", {{"offset", std::to_string(endOffset)}});
    store.claimOwnership(ownRecord(),
                         endOffset,
                         settings.ownershipTimes.answerTimeout,
                         [self = shared_from_this(), endOffset](const tl::expected<std::uint64_t, StoreFailure> &offset) {
                             self->claiming = false;
                             if (self->stopped) {
                                 return;
                             }
                             if (!offset) {
                                 logChange("node", "claim failed", {{"offset", std::to_string(endOffset)}, {"reason", std::string(toName(offset.error()))}});
                                 return;
                             }
                             self->beginOwnership(*offset);
                         });
}

void JobNode::Impl::beginOwnership(std::uint64_t offset)
{
    const std::uint64_t epoch = offset + 1;
    takeoversTotal.increment();
    ownerGauge.set(1);
    publishedUnreachable.clear();
    unconfirmedSentAt.reset();
    confirmedEndOffset = epoch;
    logChange("owner", "taking over", {{"epoch", std::to_string(epoch)}, {"predecessor", predecessor ? predecessor->node : ""}});
    PredecessorState predecessorState{predecessorLeases(), instanceHandOver(), predecessor ? predecessor->jobsPartition : 0};
    const auto publish = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->scheduleHeartbeat(0ms);
        }
    };
    const auto onOwnershipLost = [weak = weak_from_this()](const std::string &reason) {
        if (const auto self = weak.lock()) {
            self->endOwnership(reason);
        }
    };
    const JobOwnerContext context{io,
                                  store,
                                  workers,
                                  registry,
                                  instances,
                                  metrics,
                                  settings.schedulerTimes,
                                  settings.schedulerOptions,
                                  settings.ownershipTimes,
                                  settings.instanceTimes,
                                  publish};
    jobOwner = std::make_shared<JobOwner>(context, epoch, std::move(predecessorState), onOwnershipLost);
    for (const auto &[number, wave] : waves) {
        jobOwner->addWave(wave.first, wave.second);
    }
    jobOwner->setEvacuation(evacuation);
    jobOwner->begin(configuration->policy);
    if (readEvacuation) {
        readEvacuation();
    }
    scheduleHeartbeat(settings.ownershipTimes.heartbeatInterval);
    announceOwnership(0);
}

void JobNode::Impl::endOwnership(const std::string &reason)
{
    if (!jobOwner) {
        return;
    }
    logChange("owner", "ended", {{"epoch", std::to_string(jobOwner->epoch())}, {"reason", reason}});
    ownerGauge.set(0);
    lastEndedEpoch = std::max(lastEndedEpoch, jobOwner->epoch());
    const std::shared_ptr<JobOwner> endedOwner = std::move(jobOwner);
    jobOwner = nullptr;
    // Deferred, because the JobOwner itself may be the caller.
    asio::post(io, [endedOwner] {
        endedOwner->end();
    });
}

void JobNode::Impl::scheduleHeartbeat(std::chrono::milliseconds delay)
{
    if (heartbeatInFlight) {
        heartbeatWanted = heartbeatWanted || delay == 0ms;
        return;
    }
    heartbeatTimer.expires_after(delay);
    heartbeatTimer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error && !self->stopped && self->jobOwner && !self->releasing) {
            self->sendHeartbeat();
        }
    });
}

void JobNode::Impl::sendHeartbeat()
{
    const BootTime sentAt = BootClock::now();
    OwnershipRecord record = ownRecord();
    record.unreachableWorkers = jobOwner->unreachableWorkers();
    // A successor may rely on the record from the moment at which it is sent.
    publishedUnreachable.insert(record.unreachableWorkers.begin(), record.unreachableWorkers.end());
    jobOwner->notePublishedUnreachable(publishedUnreachable);
    heartbeatInFlight = true;
    unconfirmedSentAt = unconfirmedSentAt.value_or(sentAt);
    store.claimOwnership(record,
                         view.endOffset(),
                         settings.ownershipTimes.answerTimeout,
                         [self = shared_from_this(), sentAt, record](const tl::expected<std::uint64_t, StoreFailure> &offset) {
                             self->heartbeatInFlight = false;
                             if (!self->stopped && self->jobOwner && !self->releasing) {
                                 self->noteHeartbeat(record, sentAt, offset);
                             }
                         });
}

void JobNode::Impl::noteHeartbeat(const OwnershipRecord &record, BootTime sentAt, const tl::expected<std::uint64_t, StoreFailure> &offset)
{
    const bool isOfThisOwnership = record.epoch == jobOwner->epoch();
    if (offset && isOfThisOwnership) {
        publishedUnreachable = record.unreachableWorkers;
        jobOwner->notePublishedUnreachable(publishedUnreachable);
        jobOwner->noteStoreContact(sentAt);
        unconfirmedSentAt.reset();
        confirmedEndOffset = *offset + 1;
        jobOwner->noteRecordStored(confirmedEndOffset);
        jobOwner->notePublishedPartition(record.jobsPartition);
    } else if (!offset) {
        // A conflict alone does not end the ownership: the log may have grown by this node's own earlier record.
        logChange("owner", "heartbeat not stored", {{"reason", std::string(toName(offset.error()))}});
        if (offset.error() == StoreFailure::Conflict) {
            rereadOwnership();
        }
    }
    if (std::exchange(heartbeatWanted, false) && offset) {
        scheduleHeartbeat(0ms);
        return;
    }
    // After a lost answer the next heartbeat is overdue, but a connection that is reset at once must not lead to another one
    // earlier than usual.
    const bool isUnanswered = !offset && offset.error() == StoreFailure::Unanswered;
    const std::chrono::milliseconds elapsed = isUnanswered ? BootClock::now() - sentAt : 0ms;
    scheduleHeartbeat(std::max<std::chrono::milliseconds>(0ms, settings.ownershipTimes.heartbeatInterval - elapsed));
}

// Prefers nodes with more cpu, as the owner does all the work. Among equal ones, prefers the node that was started last:
// nodes are restarted one after the other, so it is the least likely to be restarted next.
std::string JobNode::Impl::chooseSuccessor() const
{
    const BootTime now = BootClock::now();
    std::string chosen;
    std::tuple<std::uint32_t, std::uint64_t> best;
    for (const auto &[name, node] : forwardingNodes) {
        if (now - node.lastCallAt >= MaxSuccessorCallAge || name == settings.name) {
            continue;
        }
        const std::tuple rank(node.cpuMillicores, node.startedMs);
        if (chosen.empty() || rank > best) {
            chosen = name;
            best = rank;
        }
    }
    return chosen;
}

// Several attempts, as a heartbeat that was in flight may have moved the end of the log.
void JobNode::Impl::storeRelease(const OwnershipRecord &record, int attemptsLeft, const std::function<void()> &onDone)
{
    store.claimOwnership(record,
                         view.endOffset(),
                         settings.ownershipTimes.answerTimeout,
                         [self = shared_from_this(), record, attemptsLeft, onDone](const tl::expected<std::uint64_t, StoreFailure> &offset) {
                             logChange("owner", "released", {{"result", offset ? "stored" : std::string(toName(offset.error()))}});
                             const bool superseded = self->view.owner() && self->view.owner()->epoch > record.epoch;
                             if (offset || attemptsLeft <= 1 || superseded || self->stopped) {
                                 onDone();
                                 return;
                             }
                             self->heartbeatTimer.expires_after(ReleaseRetryDelay);
                             self->heartbeatTimer.async_wait([self, record, attemptsLeft, onDone](const asio::error_code &error) {
                                 if (error) {
                                     onDone();
                                     return;
                                 }
                                 self->storeRelease(record, attemptsLeft - 1, onDone);
                             });
                         });
}

}
