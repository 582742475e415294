/** @file fleet_measure.h Real nodes of small fleets: memory, processor time, control bytes. */

#pragma once

#include <string>

namespace wisteriahoist::bench {

/** Where the programs are and where to write. */
struct FleetBench {
    std::string nodeBinary;
    std::string standinBinary;
    std::string folder;
};

/** What a member of the largest fleet used while no request ran; means over the members. */
struct IdleNode {
    double residentKb = 0;
    double privateKb = 0;
    double cpuPercent = 0;   ///< Of one core, all threads.
    double controlBytes = 0; ///< HTTP/2 bytes per second, sent and received.
};

/**
 * Starts fleets of several sizes, one after the other, and fits the slopes of the roles.
 * @return What one member used. @throws std::runtime_error if a fleet does not become ready.
 */
IdleNode measureFleets(const FleetBench &bench);

} // namespace wisteriahoist::bench
