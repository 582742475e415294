/** @file growth.h Decision time and memory, and lookup time, as servers and ranges grow. */

#pragma once

#include <filesystem>

namespace wisteriahoist::measure {

/** Measures each size, prints it and writes it to @p file as CSV. */
void writeGrowth(const std::filesystem::path &file);

} // namespace wisteriahoist::measure
