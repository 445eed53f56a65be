#pragma once

#include "admission/admission.h"
#include "cornelquay/nodesettings.h"
#include "details/viewpolicy.h"
#include "replica/replica.h"
#include "upstream/upstreams.h"

#include <functional>
#include <memory>

namespace Cornelquay::Details {

/** What the operators' interface needs from the node. */
struct OperatorServerDependencies {
    Replica *replica = nullptr;
    Admission *admission = nullptr;
    Upstreams *upstreams = nullptr;
    Metrics *metrics = nullptr;
    Incarnation self;
    std::function<ViewState()> viewState;
    /** Offsets that the other present nodes have folded up to, by name; absent if not heard of. */
    std::function<std::map<std::string, Offset>()> peerOffsets;
    /** Asks the other nodes for their offsets now. */
    std::function<void()> requestPeerOffsets;
    /** Whether the node takes part. */
    std::function<bool()> isReady;
};

/**
 * The operators' interface over HTTP with JSON, as docs/INTERFACES.md describes it.
 *
 * Every change is a record in the log under the operator's name; the answer says on which nodes it
 * is in force. Queries answer from this node's view. Thread-safe.
 */
class OperatorServer
{
public:
    OperatorServer(const NodeSettings &settings, OperatorServerDependencies services);
    ~OperatorServer();
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    bool isBound() const;
    std::uint16_t port() const;
    void start();
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
