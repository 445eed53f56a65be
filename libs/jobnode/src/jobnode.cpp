#include "details/jobnodeimpl.h"

#include <asio/post.hpp>

#include <algorithm>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// If no attempt succeeds, other nodes take over only after OwnershipTimes::ownerTimeout.
constexpr int MaxReleaseAttempts = 8;
// A forwarded call times out this much before its caller stops waiting, so that the caller still gets an answer.
constexpr std::int64_t ForwardMarginMs = 60;
constexpr std::int64_t NoOwnerRetryAfterMs = 500;
constexpr std::int64_t ForwardRetryAfterMs = 200;
// Calls wait for the store, which answers in milliseconds or is away for seconds.
constexpr std::int64_t OverloadRetryAfterMs = 1000;
// What a decoded call takes beside the bytes that it was sent in, which are copied to decode, keep and store it.
constexpr std::size_t ForwardedCallBytes = 4096;
constexpr std::size_t CopiesOfForwardedCall = 4;
// Interval of the checks whether some queue uses the advice service and another node owns the jobs.
constexpr std::chrono::milliseconds AdviceCheckInterval = 200ms;
// Timeout of an offer to query the advice service; the owner answers it within a second.
constexpr std::int64_t AdviceOfferTimeoutMs = 2000;
// A node that has lost the store knows the former owner, which tells it of the present one; that one may have been succeeded too.
constexpr int MaxRedirects = 2;
// The predecessor may be cut off or frozen for some seconds; one whose process ended does not answer at all.
constexpr std::chrono::milliseconds AnnouncementTimeout = 500ms;
constexpr std::chrono::milliseconds AnnouncementRetryDelay = 500ms;
constexpr int MaxAnnouncements = 12;

// The calls that nodes make for themselves are few, and ownership depends on them.
bool isOfCaller(const std::optional<JobCall> &call)
{
    return !call || (call->kind != JobCallKind::AnnounceOwner && call->kind != JobCallKind::ExchangeAdvice);
}

}

void JobNode::Impl::build()
{
    std::weak_ptr<Impl> weak = weak_from_this();
    mesh = PeerMesh::Builder()
               .self({settings.name, static_cast<std::uint64_t>(incarnation)})
               .address(settings.peerAddress)
               .secret(settings.peerSecret)
               .metrics(metrics)
               .onDeferredRequest([weak, &owner = io, budget = settings.budget, refused = forwardedRefusedTotal](
                                      const Incarnation &from, const std::string &body, const PeerMesh::Replier &reply) mutable {
                   const std::size_t bytes = ForwardedCallBytes + CopiesOfForwardedCall * body.size();
                   // Refused on the thread of the mesh, so that it costs the thread of the owner nothing.
                   if (budget && !budget->admits(bytes) && isOfCaller(decodeJobCall(body))) {
                       refused.increment();
                       reply(encode(JobAnswer::notRun("the owner of the jobs has too many calls in progress", OverloadRetryAfterMs)));
                       return;
                   }
                   const auto charge = std::make_shared<MemoryCharge>(budget, MemoryUse::ForwardedCalls, bytes);
                   asio::post(owner, [weak, from, body, reply, charge] {
                       const auto self = weak.lock();
                       const std::optional<JobCall> call = decodeJobCall(body);
                       if (!self || !call) {
                           logChange("node", "unreadable call of another node", {{"from", from.name}});
                           reply(encode(JobAnswer::notRun("not understood", ForwardRetryAfterMs)));
                           return;
                       }
                       self->handleForwarded(from, *call, [reply, charge](const JobAnswer &answer) {
                           reply(encode(answer));
                       });
                   });
               })
               .build();
}

void JobNode::Impl::handleForwarded(const Incarnation &from, const JobCall &call, const Responder &respond)
{
    if (call.kind == JobCallKind::AnnounceOwner) {
        handleAnnouncement(call.owner);
        respond(JobAnswer::of(JobAnswerKind::Done));
        return;
    }
    if (jobOwner) {
        forwardingNodes[from.name] = {from.number, call.nodeCpuMillicores, BootClock::now()};
        jobOwner->handle(call, respond);
        return;
    }
    JobAnswer answer = JobAnswer::notRun("not the owner of the jobs", ForwardRetryAfterMs);
    answer.owner = view.route().value_or(OwnerRoute{});
    respond(answer);
}

// A node that has lost the store learns here that its ownership is over.
void JobNode::Impl::handleAnnouncement(const OwnerRoute &route)
{
    logChange("node", "owner told by a peer", {{"node", route.node}, {"epoch", std::to_string(route.epoch)}});
    view.noteRoute(route);
    if (jobOwner && route.epoch > jobOwner->epoch()) {
        endOwnership("a later owner announced itself");
    }
    dialOwner();
}

void JobNode::Impl::announceOwnership(int attemptsMade)
{
    if (!predecessor || predecessor->released || predecessor->node == settings.name || attemptsMade >= MaxAnnouncements) {
        return;
    }
    const std::optional<Address> address = parseAddress(predecessor->address);
    if (!address) {
        return;
    }
    mesh->setPeers({{{predecessor->node, static_cast<std::uint64_t>(predecessor->incarnation)}, *address}});
    ownerEndpoint.reset();
    JobCall call;
    call.kind = JobCallKind::AnnounceOwner;
    const OwnershipRecord record = ownRecord();
    call.owner = {record.node, record.incarnation, record.address, record.epoch};
    mesh->request(predecessor->node,
                  encode(call),
                  AnnouncementTimeout,
                  [self = shared_from_this(), epoch = record.epoch, attemptsMade](const tl::expected<std::string, PeerFailure> &reply) {
                      asio::post(self->io, [self, epoch, attemptsMade, isAnswered = reply.has_value()] {
                          if (isAnswered || self->stopped) {
                              return;
                          }
                          self->announcementTimer.expires_after(AnnouncementRetryDelay);
                          self->announcementTimer.async_wait([self, epoch, attemptsMade](const asio::error_code &error) {
                              if (!error && self->jobOwner && self->jobOwner->epoch() == epoch) {
                                  self->announceOwnership(attemptsMade + 1);
                              }
                          });
                      });
                  });
}

void JobNode::Impl::dialOwner()
{
    const std::optional<OwnerRoute> owner = view.route();
    if (!owner || isOwn(*owner)) {
        return;
    }
    const std::optional<Address> address = parseAddress(owner->address);
    if (!address) {
        return;
    }
    const PeerEndpoint endpoint{{owner->node, static_cast<std::uint64_t>(owner->incarnation)}, *address};
    if (ownerEndpoint != endpoint) {
        ownerEndpoint = endpoint;
        mesh->setPeers({endpoint});
    }
}

void JobNode::Impl::handle(const JobCall &call, const Responder &respond)
{
    if (jobOwner) {
        jobOwner->handle(call, respond);
        return;
    }
    const std::optional<OwnerRoute> owner = view.route();
    if (!owner || isOwn(*owner)) {
        respond(JobAnswer::notRun("no node owns the jobs at the moment", NoOwnerRetryAfterMs));
        return;
    }
    forward(call, respond, MaxRedirects);
}

bool JobNode::Impl::isOwn(const OwnerRoute &route) const
{
    return route.node == settings.name && route.incarnation == incarnation;
}

void JobNode::Impl::forward(const JobCall &call, const Responder &respond, int redirectsLeft)
{
    const std::int64_t timeLeftMs = call.deadlineMs - toUnixMilliseconds(wallNow()) - ForwardMarginMs;
    if (timeLeftMs <= 0) {
        respond(JobAnswer::notRun("the time of the call is over", ForwardRetryAfterMs));
        return;
    }
    forwardedTotal.increment();
    JobCall forwarded = call;
    forwarded.nodeCpuMillicores = static_cast<std::uint32_t>(settings.cpuShare * 1000);
    const OwnerRoute owner = view.route().value_or(OwnerRoute{});
    mesh->request(owner.node,
                  encode(forwarded),
                  std::chrono::milliseconds(timeLeftMs),
                  [self = shared_from_this(), call, respond, owner, redirectsLeft](tl::expected<std::string, PeerFailure> reply) {
                      asio::post(self->io, [self, call, respond, owner, redirectsLeft, reply = std::move(reply)] {
                          if (!reply) {
                              respond(reply.error() == PeerFailure::NotSent ? JobAnswer::notRun("the owner of the jobs cannot be reached", ForwardRetryAfterMs)
                                                                            : JobAnswer::unknown("the owner of the jobs did not answer"));
                              return;
                          }
                          const std::optional<JobAnswer> answer = decodeJobAnswer(*reply);
                          if (answer && answer->kind == JobAnswerKind::NotRun && answer->owner.epoch > owner.epoch && redirectsLeft > 0) {
                              self->view.noteRoute(answer->owner);
                              self->dialOwner();
                              if (!self->stopped && self->ownerEndpoint) {
                                  self->forward(call, respond, redirectsLeft - 1);
                                  return;
                              }
                          }
                          respond(answer ? *answer : JobAnswer::unknown("the owner's answer cannot be read"));
                      });
                  });
}

bool JobNode::Impl::needsAdvice() const
{
    return configuration && std::any_of(configuration->policy->queues.begin(), configuration->policy->queues.end(), [](const auto &queue) {
               return queue.second.advice.has_value();
           });
}

void JobNode::Impl::scheduleAdviceOffer(std::chrono::milliseconds delay, AdviceReport report)
{
    adviceTimer.expires_after(delay);
    adviceTimer.async_wait([self = shared_from_this(), report = std::move(report)](const asio::error_code &error) mutable {
        if (!error && !self->stopped) {
            self->offerAdvice(std::move(report));
        }
    });
}

void JobNode::Impl::offerAdvice(AdviceReport report)
{
    const std::optional<OwnerRoute> owner = view.route();
    if (jobOwner || releasing || !needsAdvice() || !owner || isOwn(*owner)) {
        scheduleAdviceOffer(AdviceCheckInterval, {});
        return;
    }
    JobCall call;
    call.kind = JobCallKind::ExchangeAdvice;
    call.deadlineMs = toUnixMilliseconds(wallNow()) + AdviceOfferTimeoutMs;
    call.advice = std::move(report);
    forward(
        call,
        [self = shared_from_this()](const JobAnswer &answer) {
            if (self->stopped) {
                return;
            }
            if (answer.kind != JobAnswerKind::Advice) {
                self->scheduleAdviceOffer(answer.retryAfterMs > 0 ? std::chrono::milliseconds(answer.retryAfterMs) : AdviceCheckInterval, {});
                return;
            }
            self->workers.advise(answer.advice, [self, order = answer.advice](const AdviceResult &result) {
                if (!self->stopped) {
                    self->offerAdvice({order, result.has_value(), result.value_or(std::vector<Permission>{})});
                }
            });
        },
        MaxRedirects);
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
    m_impl->readNewestOwnership();
    m_impl->scheduleAdviceOffer(AdviceCheckInterval, {});
}

void JobNode::release(std::function<void()> onDone)
{
    m_impl->releasing = true;
    if (!m_impl->jobOwner) {
        onDone();
        return;
    }
    m_impl->jobOwner->drain([self = m_impl, onDone = std::move(onDone)] {
        if (!self->jobOwner) {
            onDone();
            return;
        }
        self->recentOrders = self->jobOwner->recentInstanceOrders();
        OwnershipRecord record = self->ownRecord();
        record.released = true;
        record.recentInstanceOrders = self->recentOrders;
        // Without these, the successor would wait out a whole lease for workers that have been silent for long.
        record.unreachableWorkers = self->jobOwner->unreachableWorkers();
        record.successor = self->chooseSuccessor();
        self->endOwnership("released");
        self->storeRelease(record, MaxReleaseAttempts, onDone);
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
    m_impl->adviceTimer.cancel();
    m_impl->announcementTimer.cancel();
    if (m_impl->jobOwner) {
        m_impl->jobOwner->end();
        m_impl->jobOwner = nullptr;
    }
    m_impl->mesh->stop();
}

void JobNode::setConfiguration(std::shared_ptr<const NodeConfiguration> configuration)
{
    m_impl->configuration = std::move(configuration);
    m_impl->configurationSetAt = BootClock::now();
    if (m_impl->jobOwner) {
        m_impl->jobOwner->setPolicy(m_impl->configuration->policy);
    }
    m_impl->claimIfDue();
}

void JobNode::addWave(const WaveSpec &spec)
{
    const auto [wave, added] = m_impl->waves.try_emplace(spec.number, spec, BootClock::now());
    if (added && m_impl->jobOwner) {
        m_impl->jobOwner->addWave(spec, wave->second.second);
    }
}

void JobNode::setEvacuatedZones(const std::set<std::string> &zones, BootTime readAt)
{
    m_impl->evacuation.setZones(zones, BootClock::now());
    m_impl->evacuation.noteRead(readAt);
    m_impl->evacuatedZones.set(static_cast<double>(zones.size()));
    if (m_impl->jobOwner) {
        m_impl->jobOwner->setEvacuation(m_impl->evacuation);
    }
}

void JobNode::setEvacuationReader(std::function<void()> readNow)
{
    m_impl->readEvacuation = std::move(readNow);
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
    return m_impl->jobOwner != nullptr;
}

bool JobNode::knowsOwner() const
{
    return m_impl->jobOwner || m_impl->view.route().has_value();
}

NodeKnowledge JobNode::knowledge(BootTime now) const
{
    NodeKnowledge knowledge;
    knowledge.node = m_impl->settings.name;
    if (m_impl->jobOwner) {
        knowledge.owner = knowledge.node;
        knowledge.ownerEpoch = m_impl->jobOwner->epoch();
    } else if (const std::optional<OwnerRoute> route = m_impl->view.route()) {
        knowledge.owner = route->node;
        knowledge.ownerEpoch = route->epoch;
    }
    knowledge.ownershipAgeMs = ageMs(m_impl->view.lastRecordAt(), now);
    knowledge.configurationVersion = m_impl->configuration ? m_impl->configuration->version : 0;
    knowledge.configurationAgeMs = ageMs(m_impl->configurationSetAt, now);
    knowledge.operatorRecordsAgeMs = ageMs(m_impl->evacuation.readAt(), now);
    return knowledge;
}

std::shared_ptr<const NodeConfiguration> JobNode::configuration() const
{
    return m_impl->configuration;
}

}
