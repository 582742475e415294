/** @file demo_program.h The demo: a fleet of processes, requests through every node, faults. */

#pragma once

#include <string>

namespace wisteriahoist {

/** What the demo needs to know. */
struct DemoSettings {
    std::string nodeBinary;
    std::string directory;
    std::string declarations;
};

/** Runs the demo. @return 0 if no promise was broken. */
int runDemo(const DemoSettings &settings);

} // namespace wisteriahoist
