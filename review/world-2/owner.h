/** @file owner.h Checks the rule OWNER on what the instances have recorded. */

#pragma once

#include "fleet.h"

#include <set>

namespace world {

/** One grant that an instance took or renewed. */
struct Taken {
    int64_t at = 0;
    std::string id;
    bool renewed = false;
    int from = 0;
    int to = 0;
    int64_t fence = 0;
    int64_t hold = 0;
};

inline int64_t numberAfter(const std::string &line, const std::string &name)
{
    const size_t at = line.find(name + "=");
    return at == std::string::npos ? -1 : atoll(line.c_str() + at + name.size() + 1);
}

inline std::vector<Taken> findTaken(const std::vector<std::string> &lines)
{
    std::vector<Taken> found;
    for (const std::string &line : lines) {
        std::istringstream words(line);
        Taken taken;
        std::string who, what;
        words >> taken.at >> who >> taken.id >> what;
        if (who == "instance" && (what == "taken" || what == "renewed")) {
            taken.renewed = what == "renewed";
            taken.from = int(numberAfter(line, "from"));
            taken.to = int(numberAfter(line, "to"));
            taken.fence = numberAfter(line, "fence");
            taken.hold = numberAfter(line, "hold");
            found.push_back(taken);
        }
    }
    return found;
}

/** Writes each break of "An instance takes a key with a fencing token that isn't above all with
 * which other instances had it" to the record. @return Their number. */
inline int countStaleFences(Fleet &fleet)
{
    const std::vector<Taken> all = findTaken(fleet.lines());
    int broken = 0;
    for (size_t index = 0; index < all.size(); ++index) {
        const Taken &taken = all[index];
        for (size_t before = 0; before < index && !taken.renewed; ++before) {
            const Taken &other = all[before];
            if (other.id != taken.id && other.from <= taken.to && taken.from <= other.to
                && other.fence >= taken.fence) {
                fleet.record.line("BROKEN OWNER " + taken.id + " took " + std::to_string(taken.from)
                                  + "-" + std::to_string(taken.to) + " at "
                                  + std::to_string(taken.at) + " with fence "
                                  + std::to_string(taken.fence) + "; " + other.id
                                  + " had them at " + std::to_string(other.at) + " with fence "
                                  + std::to_string(other.fence));
                ++broken;
                break;
            }
        }
    }
    return broken;
}

} // namespace world
