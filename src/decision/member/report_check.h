/** @file report_check.h Validates heartbeats, which any process that reaches the port may send. */

#pragma once

#include "core/failure_type.h"
#include "decision/member/member_type.h"
#include "decision/routing/route_table.h"

#include <optional>

namespace wisteriahoist {

/**
 * Validates a heartbeat before it takes effect. An accepted heartbeat of a foreign process would
 * replace the current incarnation, which would lose its keys and requests.
 * @param present The current incarnation of the local backend server; empty if none.
 * @param routes The current configuration. Before the first one any service is accepted; otherwise
 *        a node that starts while the store is unavailable would have no backend server.
 * @return Why @p report is rejected; nothing if it is accepted.
 */
std::optional<Failure> checkReport(const BackendReport &report, const BackendIncarnation &present,
                                   const RouteTable &routes);

} // namespace wisteriahoist
