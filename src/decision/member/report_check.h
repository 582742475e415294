/** @file report_check.h Validates heartbeats, which any process that reaches the port may send. */

#pragma once

#include "core/failure_type.h"
#include "decision/member/member_type.h"
#include "decision/routing/route_table.h"

#include <optional>

namespace wisteriahoist {

/** The backend server beside this node, as the settings describe it. */
struct LocalBackend {
    std::string address; ///< As `ip:port`.
    std::string service;
};

/**
 * Validates a heartbeat before it takes effect. One that describes another backend server than that
 * of this node is rejected, whatever id it has: with the id of the current incarnation it would
 * change what is known of that one.
 * @param present The current incarnation of the local backend server; empty if none.
 * @param routes The current configuration. Before the first one any service is accepted; otherwise
 *        a node that starts while the store is unavailable would have no backend server.
 * @return Why @p report is rejected; nothing if it is accepted.
 */
std::optional<Failure> checkReport(const BackendReport &report, const BackendIncarnation &present,
                                   const RouteTable &routes, const LocalBackend &local);

} // namespace wisteriahoist
