#include "jobnode/jobnode.h"

#include "jobnode/reign.h"
#include "peering/peermesh.h"
#include "telemetry/log.h"

#include <asio.hpp>

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// A call of the ownership log answers at least this often, so that silence is noticed in time.
constexpr auto FollowWait = 700ms;
constexpr auto FollowRetry = 200ms;
// Claims of nodes are apart by this for a node with a whole core, more for weaker ones.
constexpr double ClaimDelayPerCore = 25.0;
constexpr std::uint32_t ClaimSpreadMs = 60;
constexpr auto ClaimDelayMost = 400ms;
// A release that is not stored costs its followers the whole time of a silence.
constexpr int ReleaseTries = 8;
constexpr auto ReleaseRetry = 80ms;
// A call that is handed on ends this much before its caller gives up.
constexpr std::int64_t HandOnMarginMs = 60;
constexpr std::int64_t NoOwnerRetryAfterMs = 500;
constexpr std::int64_t NotSentRetryAfterMs = 200;

std::chrono::milliseconds claimDelayOf(const JobNodeSettings &settings)
{
    const auto byStrength = static_cast<std::int64_t>(ClaimDelayPerCore / std::max(0.05, settings.cpuShare));
    const auto spread = static_cast<std::int64_t>(std::hash<std::string>()(settings.name) % ClaimSpreadMs);
    return std::min<std::chrono::milliseconds>(ClaimDelayMost, std::chrono::milliseconds(byStrength + spread));
}

}

struct JobNode::Impl : public std::enable_shared_from_this<JobNode::Impl> {
    Impl(asio::io_context &givenIo,
         JobNodeSettings givenSettings,
         StorePort givenStore,
         WorkerPort givenWorkers,
         RegistryPort givenRegistry,
         InstancePort givenInstances,
         Metrics &givenMetrics)
        : io(givenIo)
        , settings(std::move(givenSettings))
        , store(std::move(givenStore))
        , workers(std::move(givenWorkers))
        , registry(std::move(givenRegistry))
        , instances(std::move(givenInstances))
        , metrics(givenMetrics)
        , life(toUnixMilliseconds(wallNow()))
        , view(settings.ownership, claimDelayOf(settings))
        , timer(givenIo)
        , heartbeatTimer(givenIo)
        , takeoversTotal(givenMetrics.counter("takeovers_total", "Times that this node became the owner of the jobs"))
        , handedOnTotal(givenMetrics.counter("calls_handed_on_total", "Calls handed to the owner of the jobs"))
        , owning(givenMetrics.gauge("owner", "1 while this node owns the jobs"))
    {
    }

    asio::io_context &io;
    const JobNodeSettings settings;
    StorePort store;
    WorkerPort workers;
    RegistryPort registry;
    InstancePort instances;
    std::map<std::uint64_t, std::pair<WaveSpec, BootTime>> waves;
    Metrics &metrics;
    const std::int64_t life;
    OwnershipView view;
    asio::steady_timer timer;
    asio::steady_timer heartbeatTimer;
    Counter takeoversTotal;
    Counter handedOnTotal;
    Gauge owning;
    std::unique_ptr<PeerMesh> mesh;
    std::shared_ptr<Reign> reign;
    std::shared_ptr<const NodeConfiguration> configuration;
    std::optional<PeerEndpoint> dialled;
    /** The owner before this node's claim. */
    std::optional<OwnershipRecord> predecessor;
    BootTime predecessorHeardAt{};
    /** Workers that successors may take for silent. */
    std::map<WorkerId, std::int64_t> published;
    /** Of the reign that was ended last. */
    std::map<InstanceId, std::int64_t> recentOrders;
    /** The latest epoch of this life that is over. */
    std::uint64_t endedEpoch = 0;
    bool claiming = false;
    bool releasing = false;
    bool stopped = false;

    void build();
    void again(std::chrono::milliseconds delay, std::function<void()> action);
    void readNewest();
    void follow();
    void notePage(const OwnershipPage &page, BootTime sentAt);
    void claimIfDue();
    void claim();
    void beginReign(std::uint64_t offset);
    void endReign(const std::string &reason);
    void heartbeat();
    void storeRelease(const OwnershipRecord &record, int triesLeft, const std::function<void()> &onDone);
    OwnershipRecord ownRecord() const;
    PredecessorLeases predecessorLeases() const;
    InstanceHandOver instanceHandOver() const;
    /** The former owner was an earlier life of this node, which is over. */
    bool isFormerSelf(const OwnershipRecord &record) const;
    bool isOwn(const OwnershipRecord &record) const;
    void dialOwner();
    void handle(const JobCall &call, const Responder &respond);
    void handOn(const JobCall &call, const Responder &respond);
};

void JobNode::Impl::build()
{
    std::weak_ptr<Impl> weak = weak_from_this();
    mesh = PeerMesh::Builder()
               .self({settings.name, static_cast<std::uint64_t>(life)})
               .address(settings.peerAddress)
               .secret(settings.peerSecret)
               .metrics(metrics)
               .onDeferredRequest([weak, &owner = io](const Incarnation &from, const std::string &body, const PeerMesh::Replier &reply) {
                   asio::post(owner, [weak, from, body, reply] {
                       const auto self = weak.lock();
                       const std::optional<JobCall> call = decodeJobCall(body);
                       if (!self || !call) {
                           logChange("node", "unreadable call of another node", {{"from", from.name}});
                           reply(encode(JobAnswer::notRun("not understood", NotSentRetryAfterMs)));
                           return;
                       }
                       const auto respond = [reply](const JobAnswer &answer) {
                           reply(encode(answer));
                       };
                       if (self->reign) {
                           self->reign->handle(*call, respond);
                       } else {
                           respond(JobAnswer::notRun("not the owner of the jobs", NotSentRetryAfterMs));
                       }
                   });
               })
               .build();
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
    const BootTime sentAt = BootClock::now();
    store.newestOwnership([self = shared_from_this(), sentAt](const tl::expected<OwnershipPage, StoreFailure> &page) {
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
    });
}

void JobNode::Impl::follow()
{
    const BootTime sentAt = BootClock::now();
    store.followOwnership(view.end(), FollowWait, [self = shared_from_this(), sentAt](const tl::expected<OwnershipPage, StoreFailure> &page) {
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
    });
}

void JobNode::Impl::notePage(const OwnershipPage &page, BootTime sentAt)
{
    const std::optional<OwnershipRecord> before = view.owner();
    view.notePage(page, BootClock::now());
    const std::optional<OwnershipRecord> &owner = view.owner();
    const bool changed = owner && (!before || before->epoch != owner->epoch || before->released != owner->released);
    if (changed) {
        logChange("node", "owner", {{"node", owner->node}, {"epoch", std::to_string(owner->epoch)}, {"released", owner->released ? "true" : "false"}});
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
        heartbeatTimer.expires_after(ClaimDelayMost / 8);
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
    store.claimOwnership(ownRecord(), at, [self = shared_from_this(), at](const tl::expected<std::uint64_t, StoreFailure> &offset) {
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
    reign = std::make_shared<Reign>(ReignContext{io, store, workers, registry, instances, metrics, settings.times, settings.ownership, settings.instanceTimes},
                                    epoch,
                                    predecessorLeases(),
                                    instanceHandOver(),
                                    [weak = weak_from_this()](const std::string &reason) {
                                        if (const auto self = weak.lock()) {
                                            self->endReign(reason);
                                        }
                                    });
    for (const auto &[number, wave] : waves) {
        reign->addWave(wave.first, wave.second);
    }
    reign->begin(configuration->policy);
    heartbeat();
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

void JobNode::Impl::heartbeat()
{
    heartbeatTimer.expires_after(settings.ownership.heartbeat);
    heartbeatTimer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (error || self->stopped || !self->reign || self->releasing) {
            return;
        }
        const BootTime sentAt = BootClock::now();
        OwnershipRecord record = self->ownRecord();
        record.silentWorkers = self->reign->silentWorkers();
        // From the moment it is sent a successor may go by it.
        self->published.insert(record.silentWorkers.begin(), record.silentWorkers.end());
        self->reign->notePublished(self->published);
        self->store.claimOwnership(record, self->view.end(), [self, sentAt, record](const tl::expected<std::uint64_t, StoreFailure> &offset) {
            if (self->stopped || !self->reign || self->releasing) {
                return;
            }
            if (offset) {
                self->published = record.silentWorkers;
                self->reign->notePublished(self->published);
                self->reign->noteFresh(sentAt);
            } else {
                // A conflict is read from the log, which may hold this node's own earlier record.
                logChange("owner", "heartbeat not stored", {{"reason", std::string(toName(offset.error()))}});
            }
            self->heartbeat();
        });
    });
}

// A heartbeat that was under way may have moved the end of the log.
void JobNode::Impl::storeRelease(const OwnershipRecord &record, int triesLeft, const std::function<void()> &onDone)
{
    store.claimOwnership(record, view.end(), [self = shared_from_this(), record, triesLeft, onDone](const tl::expected<std::uint64_t, StoreFailure> &offset) {
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

void JobNode::Impl::dialOwner()
{
    const std::optional<OwnershipRecord> &owner = view.owner();
    if (!owner || isOwn(*owner)) {
        return;
    }
    const std::optional<Address> address = parseAddress(owner->address);
    if (!address) {
        return;
    }
    const PeerEndpoint endpoint{{owner->node, static_cast<std::uint64_t>(owner->life)}, *address};
    if (dialled != endpoint) {
        dialled = endpoint;
        mesh->setPeers({endpoint});
    }
}

void JobNode::Impl::handle(const JobCall &call, const Responder &respond)
{
    if (reign) {
        reign->handle(call, respond);
        return;
    }
    const std::optional<OwnershipRecord> &owner = view.owner();
    if (!owner || isOwn(*owner) || owner->released) {
        respond(JobAnswer::notRun("no node owns the jobs at the moment", NoOwnerRetryAfterMs));
        return;
    }
    handOn(call, respond);
}

void JobNode::Impl::handOn(const JobCall &call, const Responder &respond)
{
    const std::int64_t leftMs = call.deadlineMs - toUnixMilliseconds(wallNow()) - HandOnMarginMs;
    if (leftMs <= 0) {
        respond(JobAnswer::notRun("the time of the call is over", NotSentRetryAfterMs));
        return;
    }
    handedOnTotal.increment();
    mesh->ask(view.owner()->node,
              encode(call),
              std::chrono::milliseconds(leftMs),
              [self = shared_from_this(), respond](tl::expected<std::string, PeerFailure> reply) {
                  asio::post(self->io, [respond, reply = std::move(reply)] {
                      if (!reply) {
                          respond(reply.error() == PeerFailure::NotSent ? JobAnswer::notRun("the owner of the jobs cannot be reached", NotSentRetryAfterMs)
                                                                        : JobAnswer::unknown("the owner of the jobs did not answer"));
                          return;
                      }
                      const std::optional<JobAnswer> answer = decodeJobAnswer(*reply);
                      respond(answer ? *answer : JobAnswer::unknown("the owner's answer cannot be read"));
                  });
              });
}

JobNode::JobNode(
    asio::io_context &io, JobNodeSettings settings, StorePort store, WorkerPort workers, RegistryPort registry, InstancePort instances, Metrics &metrics)
    : m_impl(std::make_shared<Impl>(io, std::move(settings), std::move(store), std::move(workers), std::move(registry), std::move(instances), metrics))
{
    m_impl->build();
}

JobNode::~JobNode()
{
    stop();
}

void JobNode::start()
{
    m_impl->mesh->start();
    m_impl->readNewest();
}

void JobNode::release(std::function<void()> onDone)
{
    m_impl->releasing = true;
    if (!m_impl->reign) {
        onDone();
        return;
    }
    m_impl->reign->settle([self = m_impl, onDone = std::move(onDone)] {
        if (!self->reign) {
            onDone();
            return;
        }
        self->recentOrders = self->reign->recentInstanceOrders();
        OwnershipRecord record = self->ownRecord();
        record.released = true;
        record.recentInstanceOrders = self->recentOrders;
        self->endReign("released");
        self->storeRelease(record, ReleaseTries, onDone);
    });
}

void JobNode::stop()
{
    if (m_impl->stopped) {
        return;
    }
    m_impl->stopped = true;
    m_impl->timer.cancel();
    m_impl->heartbeatTimer.cancel();
    if (m_impl->reign) {
        m_impl->reign->end();
        m_impl->reign = nullptr;
    }
    m_impl->mesh->stop();
}

void JobNode::setConfiguration(std::shared_ptr<const NodeConfiguration> configuration)
{
    m_impl->configuration = std::move(configuration);
    if (m_impl->reign) {
        m_impl->reign->setPolicy(m_impl->configuration->policy);
    }
    m_impl->claimIfDue();
}

void JobNode::addWave(const WaveSpec &spec)
{
    const auto [wave, added] = m_impl->waves.try_emplace(spec.number, spec, BootClock::now());
    if (added && m_impl->reign) {
        m_impl->reign->addWave(spec, wave->second.second);
    }
}

void JobNode::handle(const JobCall &call, const Responder &respond)
{
    m_impl->handle(call, respond);
}

bool JobNode::isBound() const
{
    return m_impl->mesh->isBound();
}

std::uint16_t JobNode::peerPort() const
{
    return m_impl->mesh->port();
}

bool JobNode::isOwner() const
{
    return m_impl->reign != nullptr;
}

bool JobNode::knowsOwner() const
{
    return m_impl->reign || (m_impl->view.owner() && !m_impl->view.owner()->released);
}

std::shared_ptr<const NodeConfiguration> JobNode::configuration() const
{
    return m_impl->configuration;
}

}
