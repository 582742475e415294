/** @file role_state.cpp Heap and message bytes of what the roles keep and send. */

#include "role_state.h"

#include "adapter/codec/declaration_codec.h"
#include "adapter/codec/ownership_codec.h"
#include "allocation_count.h"
#include "decision/routing/routing_snapshot.h"
#include "slope.h"

#include <functional>
#include <memory>

namespace wisteriahoist::bench {

namespace {

constexpr uint32_t RangesForEachMember = 16;

/** @return A series with the cost that @p measure gives at each size. */
Series measureSizes(const std::string &name, const std::string &unit,
                    const std::vector<uint32_t> &sizes,
                    const std::function<double(uint32_t)> &measure)
{
    Series series{name, unit, {}};
    for (const uint32_t size : sizes) {
        series.points.push_back({static_cast<double>(size), measure(size)});
    }
    return series;
}

MemberInfo makeMember(uint32_t index)
{
    MemberInfo member;
    member.id = NodeId(index + 1);
    member.incarnation = Incarnation(1700000000000 + index);
    member.address = {"10.112.113.114", 8080, 8081, 8082};
    member.failureDomain = "region-1-domain-" + std::to_string(index % 3);
    member.service = "profiles";
    member.slots = 12;
    return member;
}

AssignmentRecord makeAssignment(uint32_t ranges)
{
    AssignmentRecord record;
    record.term = Term(3);
    record.highestEpoch = Epoch(ranges);
    std::vector<Slice> slices = SliceTable::makeEven(ranges).slices();
    for (uint32_t index = 0; index < ranges; ++index) {
        slices[index].owner = NodeId(index / RangesForEachMember + 1);
        slices[index].epoch = Epoch(index + 1);
    }
    record.services["profiles"] = SliceTable(std::move(slices));
    return record;
}

double snapshotBytesOfRanges(uint32_t ranges)
{
    const size_t before = allocatedBytes();
    const auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->tables = makeAssignment(ranges).services;
    return static_cast<double>(allocatedBytes() - before);
}

double snapshotBytesOfMembers(uint32_t members)
{
    const size_t before = allocatedBytes();
    const auto snapshot = std::make_shared<RoutingSnapshot>();
    for (uint32_t index = 0; index < members; ++index) {
        snapshot->members[NodeId(index + 1)] = makeMember(index);
    }
    return static_cast<double>(allocatedBytes() - before);
}

double termObjectBytes(uint32_t members)
{
    TermRecord record;
    for (uint32_t index = 0; index < members; ++index) {
        record.roster.push_back(makeMember(index));
    }
    return static_cast<double>(encodeTerm(record).size());
}

double configObjectBytes(uint32_t services)
{
    Declarations declarations;
    declarations.version = 1;
    for (uint32_t index = 0; index < services; ++index) {
        ServiceDeclaration service;
        service.name = "service-" + std::to_string(index);
        service.host = service.name + ".poteglad.example";
        service.routes.resize(2);
        declarations.services.push_back(service);
    }
    return static_cast<double>(encodeDeclarations(declarations).size());
}

} // namespace

void measureRoleState(const std::string &folder)
{
    report(measureSizes("snapshot_heap_bytes_ranges", "range", {1000, 10000, 100000, 300000},
                        snapshotBytesOfRanges),
           folder);
    report(measureSizes("snapshot_heap_bytes_members", "member", {10, 100, 1000, 18000},
                        snapshotBytesOfMembers),
           folder);
    report(measureSizes("assignment_object_bytes", "range", {100, 1600, 16000, 64000},
                        [](uint32_t ranges) {
                            return static_cast<double>(
                                    encodeAssignment(makeAssignment(ranges)).size());
                        }),
           folder);
    report(measureSizes("term_object_bytes", "member", {10, 100, 300, 1000}, termObjectBytes),
           folder);
    report(measureSizes("config_object_bytes", "service", {1, 10, 100, 1000}, configObjectBytes),
           folder);
}

} // namespace wisteriahoist::bench
