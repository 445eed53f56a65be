#include "details/jobnodeimpl.h"

#include <asio/post.hpp>

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Claims of nodes are apart by this for a node with a whole core, more for weaker ones.
constexpr double ClaimDelayPerCore = 25.0;
constexpr std::uint32_t ClaimSpreadMs = 60;
constexpr auto ClaimDelayMost = 400ms;
// A call of the ownership log answers at least this often, so that silence is noticed in time.
constexpr auto FollowWait = 350ms;
constexpr auto FollowRetry = 200ms;
// A node without an owner to follow looks this often whether its claim is due.
constexpr auto ClaimLookInterval = 50ms;
// A node that handed on a call so recently is there.
constexpr auto SuccessorHeardWithin = 2s;
// A release that is not stored costs its followers the whole time of a silence.
constexpr auto ReleaseRetry = 80ms;

}

std::chrono::milliseconds JobNode::Impl::claimDelayOf(const JobNodeSettings &settings)
{
    const auto byStrength = static_cast<std::int64_t>(ClaimDelayPerCore / std::max(0.05, settings.cpuShare));
    const auto spread = static_cast<std::int64_t>(std::hash<std::string>()(settings.name) % ClaimSpreadMs);
    return std::min<std::chrono::milliseconds>(ClaimDelayMost, std::chrono::milliseconds(byStrength + spread));
}

void JobNode::Impl::again(std::chrono::milliseconds delay, std::function<void()> action)
{
    timer.expires_after(delay);
    timer.async_wait([self = shared_from_this(), action = std::move(action)](const asio::error_code &error) {
        if (!error && !self->stopped) {
            action();
        }
    });
}

void JobNode::Impl::readNewest()
{
    store.newestOwnership(onOwnershipPage());
}

void JobNode::Impl::follow()
{
    store.followOwnership(view.end(), FollowWait, onOwnershipPage());
}

std::function<void(const tl::expected<OwnershipPage, StoreFailure> &)> JobNode::Impl::onOwnershipPage()
{
    return [self = shared_from_this(), sentAt = BootClock::now()](const tl::expected<OwnershipPage, StoreFailure> &page) {
        if (self->stopped) {
            return;
        }
        if (!page) {
            self->view.noteFailure();
            self->again(FollowRetry, [self] {
                self->readNewest();
            });
            return;
        }
        self->notePage(*page, sentAt);
        self->follow();
    };
}

void JobNode::Impl::notePage(const OwnershipPage &page, BootTime sentAt)
{
    const std::optional<OwnershipRecord> before = view.owner();
    view.notePage(page, BootClock::now());
    const std::optional<OwnershipRecord> &owner = view.owner();
    const bool changed = owner && (!before || before->epoch != owner->epoch || before->released != owner->released);
    if (changed) {
        logChange("node",
                  "owner",
                  {{"node", owner->node},
                   {"epoch", std::to_string(owner->epoch)},
                   {"released", owner->released ? "true" : "false"},
                   {"successor", owner->successor}});
    }
    if (reign && owner && owner->epoch > reign->epoch()) {
        endReign("a later owner is in the log");
    } else if (reign && owner && isOwn(*owner)) {
        reign->noteFresh(sentAt);
    }
    dialOwner();
    claimIfDue();
}

void JobNode::Impl::claimIfDue()
{
    if (reign || claiming || releasing || stopped || !configuration) {
        return;
    }
    const BootTime now = BootClock::now();
    if (view.owner() && isOwn(*view.owner())) {
        // A claim that got no answer stands; after a reign that ended by itself a new one is needed.
        if (view.owner()->epoch > endedEpoch && !view.owner()->released) {
            beginReign(view.owner()->epoch - 1);
        } else {
            claim();
        }
        return;
    }
    const bool follows = view.isKnown() && view.owner() && isFormerSelf(*view.owner()) && !view.owner()->released;
    if (follows || view.shouldClaim(now)) {
        claim();
        return;
    }
    if (view.isKnown() && (!view.owner() || view.owner()->released)) {
        heartbeatTimer.expires_after(ClaimLookInterval);
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
    record.life = life;
    record.address = toText(Address{settings.peerAddress.host, mesh->port()});
    record.epoch = reign ? reign->epoch() : view.end() + 1;
    if (reign) {
        record.jobsPartition = reign->jobsPartition();
    } else if (view.owner()) {
        record.jobsPartition = view.owner()->jobsPartition;
    }
    return record;
}

// An owner extends leases only for a while after it was last heard in the store.
PredecessorLeases JobNode::Impl::predecessorLeases() const
{
    PredecessorLeases leases;
    if (!predecessor) {
        return leases;
    }
    const LeaseTerms &terms = settings.times.lease;
    const auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(terms.most * (1.0 + terms.clockSlowness)) + terms.margin;
    const std::chrono::milliseconds ago = BootClock::now() - predecessorHeardAt;
    const std::chrono::milliseconds extends
        = predecessor->released || isFormerSelf(*predecessor) ? 0ms : std::chrono::milliseconds(settings.ownership.leaseFreshness);
    // An earlier life may have extended leases until this one began.
    const std::chrono::milliseconds since = isFormerSelf(*predecessor) && !predecessor->released ? 0ms : ago;
    leases.rest = std::max<std::chrono::milliseconds>(0ms, extends + longest - since);
    for (const auto &[worker, left] : predecessor->silentWorkers) {
        leases.silent[worker] = std::max<std::chrono::milliseconds>(0ms, std::chrono::milliseconds(left) - ago);
    }
    return leases;
}

bool JobNode::Impl::isFormerSelf(const OwnershipRecord &record) const
{
    return record.node == settings.name && record.life != life;
}

InstanceHandOver JobNode::Impl::instanceHandOver() const
{
    const BootTime now = BootClock::now();
    InstanceHandOver handOver;
    // The first owner of all follows nobody, and a node goes on with its own orders under a higher token.
    handOver.isExact = !predecessor || predecessor->released || predecessor->node == settings.name;
    handOver.restFrom = now + settings.instanceTimes.handOver;
    if (predecessor && predecessor->node != settings.name) {
        for (const auto &[instance, ago] : predecessor->recentInstanceOrders) {
            handOver.heldUntil[instance] = predecessorHeardAt + settings.instanceTimes.handOver - std::chrono::milliseconds(ago);
        }
    }
    return handOver;
}

bool JobNode::Impl::isOwn(const OwnershipRecord &record) const
{
    return record.node == settings.name && record.life == life;
}

void JobNode::Impl::claim()
{
    claiming = true;
    predecessor = view.owner();
    predecessorHeardAt = view.heardAt();
    const std::uint64_t at = view.end();
    logChange("node", "claiming ownership", {{"offset", std::to_string(at)}});
    store.claimOwnership(ownRecord(), at, settings.ownership.answer, [self = shared_from_this(), at](const tl::expected<std::uint64_t, StoreFailure> &offset) {
        self->claiming = false;
        if (self->stopped) {
            return;
        }
        if (!offset) {
            logChange("node", "claim failed", {{"offset", std::to_string(at)}, {"reason", std::string(toName(offset.error()))}});
            return;
        }
        self->beginReign(*offset);
    });
}

void JobNode::Impl::beginReign(std::uint64_t offset)
{
    const std::uint64_t epoch = offset + 1;
    takeoversTotal.increment();
    owning.set(1);
    published.clear();
    logChange("owner", "taking over", {{"epoch", std::to_string(epoch)}, {"predecessor", predecessor ? predecessor->node : ""}});
    Inheritance inheritance{predecessorLeases(), instanceHandOver(), predecessor ? predecessor->jobsPartition : 0};
    const auto publish = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->heartbeatIn(0ms);
        }
    };
    const auto onDeposed = [weak = weak_from_this()](const std::string &reason) {
        if (const auto self = weak.lock()) {
            self->endReign(reason);
        }
    };
    const ReignContext context{io, store, workers, registry, instances, metrics, settings.times, settings.ownership, settings.instanceTimes, publish};
    reign = std::make_shared<Reign>(context, epoch, std::move(inheritance), onDeposed);
    for (const auto &[number, wave] : waves) {
        reign->addWave(wave.first, wave.second);
    }
    reign->begin(configuration->policy);
    heartbeatIn(settings.ownership.heartbeat);
}

void JobNode::Impl::endReign(const std::string &reason)
{
    if (!reign) {
        return;
    }
    logChange("owner", "ended", {{"epoch", std::to_string(reign->epoch())}, {"reason", reason}});
    owning.set(0);
    endedEpoch = std::max(endedEpoch, reign->epoch());
    const std::shared_ptr<Reign> old = std::move(reign);
    reign = nullptr;
    // The reign may be what called this.
    asio::post(io, [old] {
        old->end();
    });
}

void JobNode::Impl::heartbeatIn(std::chrono::milliseconds delay)
{
    if (heartbeatInFlight) {
        heartbeatWanted = heartbeatWanted || delay == 0ms;
        return;
    }
    heartbeatTimer.expires_after(delay);
    heartbeatTimer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error && !self->stopped && self->reign && !self->releasing) {
            self->heartbeat();
        }
    });
}

void JobNode::Impl::heartbeat()
{
    const BootTime sentAt = BootClock::now();
    OwnershipRecord record = ownRecord();
    record.silentWorkers = reign->silentWorkers();
    // From the moment it is sent a successor may go by it.
    published.insert(record.silentWorkers.begin(), record.silentWorkers.end());
    reign->notePublished(published);
    heartbeatInFlight = true;
    store.claimOwnership(
        record, view.end(), settings.ownership.answer, [self = shared_from_this(), sentAt, record](const tl::expected<std::uint64_t, StoreFailure> &offset) {
            self->heartbeatInFlight = false;
            if (!self->stopped && self->reign && !self->releasing) {
                self->noteHeartbeat(record, sentAt, offset);
            }
        });
}

void JobNode::Impl::noteHeartbeat(const OwnershipRecord &record, BootTime sentAt, const tl::expected<std::uint64_t, StoreFailure> &offset)
{
    const bool ofThisReign = record.epoch == reign->epoch();
    if (offset && ofThisReign) {
        published = record.silentWorkers;
        reign->notePublished(published);
        reign->noteFresh(sentAt);
        reign->noteJobsPartition(record.jobsPartition);
    } else if (!offset) {
        // A conflict is read from the log, which may hold this node's own earlier record.
        logChange("owner", "heartbeat not stored", {{"reason", std::string(toName(offset.error()))}});
    }
    const bool lost = !offset && offset.error() == StoreFailure::Unanswered;
    heartbeatIn(lost || (std::exchange(heartbeatWanted, false) && offset) ? 0ms : settings.ownership.heartbeat);
}

// Of the strongest nodes, as the owner carries all work. Nodes are restarted one after the other, so of those the
// one that was started last is not the next.
std::string JobNode::Impl::chooseSuccessor() const
{
    const BootTime now = BootClock::now();
    std::string chosen;
    std::tuple<std::uint32_t, std::uint64_t> best;
    for (const auto &[name, node] : callingNodes) {
        if (now - node.heardAt >= SuccessorHeardWithin || name == settings.name) {
            continue;
        }
        const std::tuple rank(node.strength, node.startedMs);
        if (chosen.empty() || rank > best) {
            chosen = name;
            best = rank;
        }
    }
    return chosen;
}

// A heartbeat that was under way may have moved the end of the log.
void JobNode::Impl::storeRelease(const OwnershipRecord &record, int triesLeft, const std::function<void()> &onDone)
{
    store.claimOwnership(record,
                         view.end(),
                         settings.ownership.answer,
                         [self = shared_from_this(), record, triesLeft, onDone](const tl::expected<std::uint64_t, StoreFailure> &offset) {
                             logChange("owner", "released", {{"result", offset ? "stored" : std::string(toName(offset.error()))}});
                             const bool superseded = self->view.owner() && self->view.owner()->epoch > record.epoch;
                             if (offset || triesLeft <= 1 || superseded || self->stopped) {
                                 onDone();
                                 return;
                             }
                             self->heartbeatTimer.expires_after(ReleaseRetry);
                             self->heartbeatTimer.async_wait([self, record, triesLeft, onDone](const asio::error_code &error) {
                                 if (error) {
                                     onDone();
                                     return;
                                 }
                                 self->storeRelease(record, triesLeft - 1, onDone);
                             });
                         });
}

}
