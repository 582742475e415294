/** @file contender.h A way of placing keys, as the measurement drives it. */

#pragma once

#include "trace_type.h"

#include <memory>

namespace wisteriahoist::measure {

/** What a contender may see in one second. */
struct Observation {
    seconds now;
    const Trace &trace;
    const std::vector<InstanceView> &instances;
    const std::vector<double> &rates;    ///< True rates; only the bounded ring reads them.
    const std::vector<uint32_t> &counts; ///< Requests by key in the second before.
};

/** A way of placing keys. */
class Contender
{
public:
    virtual ~Contender() = default;
    virtual std::string name() const = 0;

    /** Decides once a second. @p owners holds the owner of each key; it is updated. */
    virtual void step(const Observation &seen, std::vector<NodeId> &owners) = 0;
};

std::unique_ptr<Contender> makeBalanced();    ///< This project's placement.
std::unique_ptr<Contender> makeNeverMoves();  ///< Slice table by count; the version before.
std::unique_ptr<Contender> makeRing();        ///< Hash ring with virtual nodes.
std::unique_ptr<Contender> makeBoundedRing(); ///< Ring with bounded loads, told the true rates.

} // namespace wisteriahoist::measure
