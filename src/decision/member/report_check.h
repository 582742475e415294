/** @file report_check.h Which heartbeats a node believes; anybody who reaches its port may send
 * one.
 */

#pragma once

#include "core/failure_type.h"
#include "decision/member/member_type.h"
#include "decision/routing/route_table.h"

#include <optional>

namespace wisteriahoist {

/**
 * Decides on a heartbeat before it changes anything. A foreign writer's heartbeat that was believed
 * would end the life that is there, and its keys and requests with it.
 * @param present The life that the node knows as the one beside it; empty if none.
 * @param routes The configuration in force. Before the first one every service is believed, or a
 *        node that starts while the store is away would have no backend server.
 * @return Why @p report is refused; nothing if it is to be taken.
 */
std::optional<Failure> checkReport(const BackendReport &report, const BackendIncarnation &present,
                                   const RouteTable &routes);

} // namespace wisteriahoist
