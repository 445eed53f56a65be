#include "cornelquay/node.h"

#include "details/callerserver.h"
#include "details/instancecontroller.h"
#include "details/keyring.h"
#include "details/operatorserver.h"
#include "details/peercontroller.h"
#include "details/quotacontroller.h"
#include "details/wavecontroller.h"
#include "telemetry/log.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace Cornelquay {

namespace {

using namespace std::chrono_literals;

// Operators have memory of their own, of this part of that of callers, so that a crowd of callers does not keep them out.
constexpr std::size_t OperatorsDivisor = 2;
constexpr auto JoinTimeout = 5s;
constexpr auto LeaveTimeout = 3s;
constexpr auto JoinCheckInterval = 200ms;

// Uses the wall clock, so that a restarted node gets a larger number without storing the last one.
Incarnation newIncarnation(const std::string &name)
{
    return {name, static_cast<std::uint64_t>(toUnixMilliseconds(wallNow()))};
}

}

struct Node::Impl {
    Impl(NodeSettings nodeSettings, std::function<void()> removedHandler);

    const NodeSettings settings;
    const std::function<void()> onRemoved;
    const Incarnation self;
    Metrics metrics;
    const std::shared_ptr<MemoryBudget> budget;
    std::unique_ptr<Replica> replica;
    PlatformService platform;
    Upstreams upstreams;
    Admission admission;
    Details::ServiceTables services;
    Details::RetryBudget retries;
    Details::ClaimWriter claims;
    Details::Dispatcher dispatcher;
    Details::InstanceController instances;
    Details::QuotaController quotas;
    Details::PeerController peers;
    Details::WaveController waves;
    Details::CallerServer callers;
    Details::OperatorServer operators;

    std::mutex mutex;
    std::condition_variable stopRequested;
    std::atomic<bool> joined = false;
    std::atomic<bool> removed = false;
    std::atomic<bool> stopping = false;
    std::uint64_t lastRefreshedRevision = 0;
    std::thread joinThread;

    Details::ViewState viewState() const;
    bool mayAcceptWork() const;
    bool isReady() const;
    void refresh();
    void joinUntilPresent();
    void join();
    Details::PeerControllerDependencies peerControllerDependencies();
    Details::CallerServerDependencies callerServerDependencies();
    Details::OperatorServerDependencies operatorServerDependencies();
};

Node::Impl::Impl(NodeSettings nodeSettings, std::function<void()> removedHandler)
    : settings(std::move(nodeSettings))
    , onRemoved(std::move(removedHandler))
    , self(newIncarnation(settings.name))
    , budget(std::make_shared<MemoryBudget>(callerResources(settings.resources).budgetBytes))
    , replica(Replica::Builder()
                  .readingFrom(HttpLog(settings.log))
                  .appendingTo(HttpLog(settings.log))
                  .author(settings.name)
                  .snapshotEvery(settings.snapshotIntervalRecords)
                  .metrics(metrics)
                  .build())
    , platform(settings.platform)
    , upstreams(settings.upstream, self.number, metrics)
    , admission(settings.admission, upstreams, metrics)
    , retries(settings.retryFraction)
    , claims(*replica, self, metrics)
    , dispatcher(
          *replica,
          services,
          admission,
          upstreams,
          claims,
          retries,
          [this](const std::string &team) {
              return mayAcceptWork() && !admission.isOverLimit(team);
          },
          metrics)
    , instances(*replica, platform, upstreams, self, metrics)
    , quotas(*replica, admission, self)
    , peers(peerControllerDependencies())
    , waves(
          *replica,
          platform,
          self,
          [this] {
              return !removed && Details::isAllowed(Details::ViewAction::ChangeInstances, viewState());
          },
          metrics)
    , callers(settings, callerServerDependencies(), budget, metrics)
    , operators(settings, operatorServerDependencies(), std::make_shared<MemoryBudget>(budget->limit() / OperatorsDivisor))
{
    admission.setGate([this] {
        return mayAcceptWork();
    });
}

Details::ViewState Node::Impl::viewState() const
{
    return Details::judgeView(replica->condition(), replica->confirmedAt(), peers.view(), steadyNow());
}

bool Node::Impl::mayAcceptWork() const
{
    return !removed && Details::isAllowed(Details::ViewAction::AcceptWork, viewState());
}

bool Node::Impl::isReady() const
{
    return joined && !removed && !stopping;
}

Details::PeerControllerDependencies Node::Impl::peerControllerDependencies()
{
    Details::PeerControllerDependencies dependencies;
    dependencies.replica = replica.get();
    dependencies.admission = &admission;
    dependencies.metrics = &metrics;
    dependencies.self = self;
    dependencies.address = settings.peerAddress;
    dependencies.secret = settings.peerSecret;
    dependencies.slotCount = [this](const std::string &pool) {
        return static_cast<std::int64_t>(upstreams.instanceCount(pool)) * settings.upstream.slotsPerInstance;
    };
    dependencies.isFairShareFleetWide = std::holds_alternative<FleetShareTurns>(settings.admission.turns);
    dependencies.mayAcceptWork = [this] {
        return mayAcceptWork();
    };
    return dependencies;
}

Details::CallerServerDependencies Node::Impl::callerServerDependencies()
{
    Details::CallerServerDependencies dependencies;
    dependencies.teamOfKey = [this](const std::string &key) {
        std::optional<std::string> team;
        replica->query([&](const FleetState &state) {
            team = Details::teamOfKey(state, key);
        });
        return team;
    };
    dependencies.mayAcceptWork = [this] {
        return mayAcceptWork();
    };
    dependencies.run = [this](const Details::WorkOrder &order) {
        return dispatcher.run(order);
    };
    dependencies.isReady = [this] {
        return joined && !removed;
    };
    return dependencies;
}

Details::OperatorServerDependencies Node::Impl::operatorServerDependencies()
{
    Details::OperatorServerDependencies dependencies;
    dependencies.replica = replica.get();
    dependencies.admission = &admission;
    dependencies.upstreams = &upstreams;
    dependencies.metrics = &metrics;
    dependencies.updateGauges = [this] {
        callers.updateGauges();
    };
    dependencies.self = self;
    dependencies.viewState = [this] {
        return viewState();
    };
    dependencies.peerOffsets = [this] {
        return peers.offsets(steadyNow());
    };
    dependencies.requestPeerOffsets = [this] {
        peers.exchangeNow();
    };
    dependencies.isReady = [this] {
        return isReady();
    };
    return dependencies;
}

// Called by the folding thread after each change of the fleet state.
void Node::Impl::refresh()
{
    Details::ServiceTable table;
    std::shared_ptr<const Configuration> configuration;
    bool changed = false;
    bool isRemoved = false;
    replica->query([&](const FleetState &state) {
        changed = state.revision != lastRefreshedRevision;
        if (changed) {
            lastRefreshedRevision = state.revision;
            table = Details::makeServiceTable(state);
            configuration = state.parsedConfiguration;
        }
        isRemoved = joined && !stopping && !isPresent(state, self);
    });
    if (isRemoved && !removed.exchange(true)) {
        logChange("node", "removed by the other nodes");
        if (onRemoved) {
            onRemoved();
        }
    }
    if (!changed) {
        return;
    }
    services.replace(std::move(table));
    admission.configure(*configuration);
    quotas.refreshPermits();
    instances.refreshUpstreams();
    peers.refreshPeers();
}

// Retries until the node is present once. It does not join again after a removal: the process must then
// start again as a new incarnation.
void Node::Impl::joinUntilPresent()
{
    std::unique_lock lock(mutex);
    while (!stopping && !joined) {
        lock.unlock();
        join();
        lock.lock();
        stopRequested.wait_for(lock, JoinCheckInterval, [&] {
            return stopping || joined;
        });
    }
}

void Node::Impl::join()
{
    if (!replica->waitUntilReady(steadyNow() + JoinCheckInterval)) {
        return;
    }
    const Address peerAddress{settings.peerAddress.host, peers.port()};
    const NodeJoined body{self.name, self.number, toText(peerAddress), settings.zone};
    replica->propose(body, self.name, "started", steadyNow() + JoinTimeout);
    bool present = false;
    replica->query([&](const FleetState &state) {
        present = isPresent(state, self);
    });
    if (present) {
        joined = true;
        logChange("node", "joined", {{"incarnation", std::to_string(self.number)}});
    }
}

Node::Builder &Node::Builder::settings(NodeSettings settings)
{
    m_settings = std::move(settings);
    return *this;
}

Node::Builder &Node::Builder::onRemoved(std::function<void()> handler)
{
    m_onRemoved = std::move(handler);
    return *this;
}

tl::expected<std::unique_ptr<Node>, std::string> Node::Builder::build()
{
    std::unique_ptr<Node> node(new Node(std::move(m_settings), std::move(m_onRemoved)));
    if (!node->m_impl->callers.isBound()) {
        return tl::make_unexpected("the callers' address " + toText(node->m_impl->settings.callers.address)
                                   + " cannot be bound, or its certificate or key cannot be used");
    }
    if (!node->m_impl->operators.isBound()) {
        return tl::make_unexpected("the operators' address " + toText(node->m_impl->settings.operators.address)
                                   + " cannot be bound, or its certificate or key cannot be used");
    }
    if (!node->m_impl->peers.isBound()) {
        return tl::make_unexpected("the peers' address " + toText(node->m_impl->settings.peerAddress) + " cannot be bound");
    }
    return node;
}

Node::Node(NodeSettings settings, std::function<void()> onRemoved)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(onRemoved)))
{
}

Node::~Node() = default;

void Node::start()
{
    m_impl->replica->onChange([this] {
        m_impl->refresh();
    });
    m_impl->replica->start();
    m_impl->instances.start();
    m_impl->quotas.start();
    m_impl->peers.start();
    m_impl->waves.start();
    m_impl->operators.start();
    m_impl->callers.start();
    m_impl->joinThread = std::thread([this] {
        m_impl->joinUntilPresent();
    });
}

void Node::stop()
{
    logChange("node", "stopping");
    m_impl->stopping = true;
    m_impl->callers.beginDrain();
    m_impl->stopRequested.notify_all();
    m_impl->joinThread.join();
    {
        std::unique_lock lock(m_impl->mutex);
        m_impl->stopRequested.wait_for(lock, m_impl->settings.drainDelay, [] {
            return false;
        });
    }
    m_impl->callers.stop();
    m_impl->waves.stop();
    m_impl->quotas.stop();
    m_impl->instances.stop();
    m_impl->claims.stop();
    if (m_impl->joined && !m_impl->removed) {
        m_impl->replica->propose(NodeLeft{m_impl->self.name, m_impl->self.number}, m_impl->self.name, "stopped", steadyNow() + LeaveTimeout);
    }
    m_impl->peers.stop();
    m_impl->operators.stop();
    m_impl->replica->stop();
    logChange("node", "stopped");
}

std::uint16_t Node::callerPort() const
{
    return m_impl->callers.port();
}

std::uint16_t Node::operatorPort() const
{
    return m_impl->operators.port();
}

}
