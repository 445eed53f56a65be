#pragma once

#include "admission/admission.h"
#include "cornelquay/nodesettings.h"
#include "details/viewpolicy.h"
#include "memorybudget/memorybudget.h"
#include "replica/replica.h"
#include "upstream/upstreams.h"

#include <functional>
#include <memory>

namespace Cornelquay::Details {

/** Objects and functions of the node that the operators' interface uses. The pointers outlive the server. */
struct OperatorServerDependencies {
    Replica *replica = nullptr;
    Admission *admission = nullptr;
    Upstreams *upstreams = nullptr;
    Metrics *metrics = nullptr;
    Incarnation self;
    std::function<ViewState()> viewState;
    /** Next offset to fold of each other node that was reachable recently, by node name. */
    std::function<std::map<std::string, Offset>()> peerOffsets;
    /** Requests the offsets of the other nodes without waiting for the regular exchange. */
    std::function<void()> requestPeerOffsets;
    /** Brings gauges up to date before the metrics are shown. */
    std::function<void()> updateGauges;
    /** Whether the node has joined the other nodes, was not removed by them and is not stopping. */
    std::function<bool()> isReady;
};

/**
 * The operators' interface over HTTP with JSON, as docs/INTERFACES.md describes it.
 *
 * Created by the node, bound on creation, serves from start() until stop(). Every change is a record
 * in the log with the operator as its author; the answer lists the nodes on which the change is not in
 * force yet. Queries are answered from this node's view. Thread-safe.
 */
class OperatorServer
{
public:
    /** @p budget must not be null. */
    OperatorServer(const NodeSettings &settings, OperatorServerDependencies services, std::shared_ptr<MemoryBudget> budget);
    ~OperatorServer();
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    /** Whether the address could be bound. */
    bool isBound() const;
    std::uint16_t port() const;
    void start();
    /** Blocks until the requests in flight are answered. */
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
