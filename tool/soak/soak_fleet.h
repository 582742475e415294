/** @file soak_fleet.h The nodes and backend servers of one soak: which run, and which are meant to.
 */

#pragma once

#include "port/clock.h"
#include "soak/soak_audit.h"
#include "soak/soak_log.h"
#include "soak/soak_node.h"

#include <set>

namespace wisteriahoist::soak {

/** All VMs of a soak. It ends only the processes that it has started itself. */
class SoakFleet
{
public:
    SoakFleet(asio::io_context &context, const SoakSettings &settings,
              platform::ObjectStoreStandin &store, SoakAudit &audit, const Clock &clock,
              SoakLog &log);

    size_t size() const { return nodes_.size(); }
    SoakNode &node(size_t index) { return *nodes_[index]; }

    /** @return Whether the node runs and is not about to be ended or started. */
    bool isSteady(size_t index);

    void startNode(size_t index);
    /** Does nothing if one is up. */
    void startBackend(size_t index);
    void killNode(size_t index);

    /** Starts the node after @p wait, unless somebody else has. */
    asio::awaitable<void> startNodeAfter(size_t index, milliseconds wait);

    /** Tells the node to end, waits for that, and starts it again. */
    asio::awaitable<void> restartNode(size_t index);

    /** Lets what is stopped go on, and starts what is down. */
    void heal();

    /** Until endWatch: a node that ends by itself is a broken promise, and is started again. */
    asio::awaitable<void> watch();
    void endWatch() { watching_ = false; }

    void killAll();

    /** Delays each piece on the links to the store and between nodes. */
    void delayLinks(milliseconds store, milliseconds peers);

private:
    void restartCrashedBackend(size_t index);
    void note(const std::string &text) { log_.note(text, clock_.now()); }

    SoakAudit &audit_;
    const Clock &clock_;
    SoakLog &log_;
    std::vector<std::unique_ptr<SoakNode>> nodes_;
    std::set<size_t> expectedDown_; ///< Nodes that the soak itself has ended.
    bool watching_ = true;
};

} // namespace wisteriahoist::soak
