#pragma once

#include "cornelquay/nodesettings.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Cornelquay {

/**
 * One entry node: takes callers' requests, serves operators, and keeps its share of the fleet's
 * decisions going. All nodes are alike; nothing is kept when one ends.
 *
 * Created by the daemon with its settings, started once, and stopped gracefully: stop() tells
 * balancers and callers first, answers everything in flight and gives back the node's limits.
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
         * Called once if the other nodes took this one for dead and removed it. It takes no work from
         * then on; the process should stop it and start again as a new incarnation.
         */
        Builder &onRemoved(std::function<void()> handler);
        /** The node, with its listeners bound; the error says which address could not be bound. */
        tl::expected<std::unique_ptr<Node>, std::string> build();

    private:
        NodeSettings m_settings;
        std::function<void()> m_onRemoved;
    };

    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    // Commands.
    void start();
    /** Blocks for the drain delay and until all requests in flight are answered. */
    void stop();

    // Queries.
    std::uint16_t callerPort() const;
    std::uint16_t operatorPort() const;

private:
    Node(NodeSettings settings, std::function<void()> onRemoved);
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}
