#pragma once

#include "cornelquay/nodesettings.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Cornelquay {

/**
 * An entry node: accepts callers' requests, serves the operators' interface, and takes part in
 * running the fleet (instance list, team quotas, maintenance waves). All nodes are equal, and a node
 * stores nothing locally: its state is rebuilt from the log.
 *
 * Created by the daemon with its settings, started once, and stopped gracefully: stop() first
 * signals load balancers and callers to go elsewhere, then answers all requests in flight and returns
 * the node's quotas of the team limits. After start(), stop() must be called exactly once before
 * destruction; without start() it must not be called. start() and stop() are not thread-safe.
 *
 * @code
 * auto node = Node::Builder().settings(settings).build();
 * if (node) { (*node)->start(); ...; (*node)->stop(); }
 * @endcode
 */
class Node
{
public:
    class Builder
    {
    public:
        Builder &settings(NodeSettings settings);
        /**
         * Called at most once, from a thread of the node, if the other nodes considered this one
         * unreachable and removed it. The node accepts no work from then on; the process should stop
         * it and start again as a new incarnation.
         */
        Builder &onRemoved(std::function<void()> handler);
        /** Creates the node with its listeners bound, or returns which address could not be bound. */
        tl::expected<std::unique_ptr<Node>, std::string> build();

    private:
        NodeSettings m_settings;
        std::function<void()> m_onRemoved;
    };

    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    // Commands.
    /** Starts all threads and returns; the node accepts work once it has joined the other nodes. */
    void start();
    /** Blocks for the drain delay and until all requests in flight are answered. */
    void stop();

    // Queries.
    /** The bound port, also if the settings ask for port 0. */
    std::uint16_t callerPort() const;
    std::uint16_t operatorPort() const;

private:
    Node(NodeSettings settings, std::function<void()> onRemoved);
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
