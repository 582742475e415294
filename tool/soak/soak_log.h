/** @file soak_log.h What one soak did and saw, with the time of each event since its begin. */

#pragma once

#include "core/time_type.h"

#include <fstream>
#include <string>

namespace wisteriahoist::soak {

/** The file events.log of one soak. */
class SoakLog
{
public:
    SoakLog(const std::string &directory, TimePoint begun)
        : begun_(begun), file_(directory + "/events.log")
    { }

    milliseconds sinceBegin(TimePoint at) const
    {
        return std::chrono::duration_cast<milliseconds>(at - begun_);
    }

    void note(const std::string &text, TimePoint now)
    {
        file_ << sinceBegin(now).count() << " ms " << text << std::endl;
    }

private:
    TimePoint begun_;
    std::ofstream file_;
};

} // namespace wisteriahoist::soak
