/** @file ring_contender.cpp Baselines: the hash ring, and the ring with bounded loads. */

#include "contender.h"

#include "core/hash_func.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace wisteriahoist::measure {

namespace {

constexpr int VirtualNodes = 128;
constexpr double LoadBound = 1.25; ///< A server takes at most this multiple of the mean.
constexpr uint64_t RingSeed = 7;

using Ring = std::map<KeyHash, NodeId>;

Ring makeRingOf(const std::vector<InstanceView> &instances)
{
    Ring ring;
    for (const InstanceView &view : instances) {
        for (int point = 0; view.live && !view.draining && point < VirtualNodes; ++point) {
            const std::string name = std::to_string(view.id.value()) + "/" + std::to_string(point);
            ring[hashKey(name, RingSeed)] = view.id;
        }
    }
    return ring;
}

Ring::const_iterator nextOn(const Ring &ring, KeyHash hash)
{
    const auto found = ring.lower_bound(hash);
    return found == ring.end() ? ring.begin() : found;
}

class PlainRing : public Contender
{
public:
    std::string name() const override { return "ring_virtual_nodes"; }

    void step(const Observation &seen, std::vector<NodeId> &owners) override
    {
        const Ring ring = makeRingOf(seen.instances);
        for (size_t key = 0; key < owners.size(); ++key) {
            owners[key] = nextOn(ring, seen.trace.keys[key])->second;
        }
    }
};

/** A key stays where it is while that server has room, else takes the next one that has. */
class BoundedRing : public Contender
{
public:
    std::string name() const override { return "ring_bounded_loads"; }

    void step(const Observation &seen, std::vector<NodeId> &owners) override
    {
        const Ring ring = makeRingOf(seen.instances);
        std::map<NodeId, double> loads;
        for (const auto &[point, id] : ring) {
            loads[id] = 0;
        }
        const double total = std::accumulate(seen.rates.begin(), seen.rates.end(), 0.0);
        const double bound = LoadBound * total / static_cast<double>(loads.size());
        for (size_t key = 0; key < owners.size(); ++key) {
            const double rate = seen.rates[key];
            const auto current = loads.find(owners[key]);
            if (current == loads.end() || current->second + rate > bound) {
                owners[key] = findRoom(ring, loads, seen.trace.keys[key], rate, bound);
            }
            loads[owners[key]] += rate;
        }
    }

private:
    static NodeId findRoom(const Ring &ring, const std::map<NodeId, double> &loads, KeyHash hash,
                           double rate, double bound)
    {
        auto point = nextOn(ring, hash);
        for (size_t tried = 0; tried < ring.size(); ++tried) {
            if (loads.at(point->second) + rate <= bound) {
                return point->second;
            }
            point = std::next(point) == ring.end() ? ring.begin() : std::next(point);
        }
        return nextOn(ring, hash)->second; // Hotter than the bound: it stays at home.
    }
};

} // namespace

std::unique_ptr<Contender> makeRing()
{
    return std::make_unique<PlainRing>();
}

std::unique_ptr<Contender> makeBoundedRing()
{
    return std::make_unique<BoundedRing>();
}

} // namespace wisteriahoist::measure
