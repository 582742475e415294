/** @file declaration_check.h Validates a complete set of declarations. */

#pragma once

#include "decision/config/config_problem_type.h"
#include "decision/config/declaration_type.h"

#include <cstddef>

namespace wisteriahoist {

inline constexpr size_t MaxServices = 1000;
inline constexpr size_t MaxRoutes = 256; ///< Per service.
inline constexpr size_t MaxServiceName = 63;
inline constexpr size_t MaxHost = 253;
inline constexpr size_t MaxMethod = 16;
inline constexpr size_t MaxPathPrefix = 512;
inline constexpr size_t MaxKeyName = 128;
inline constexpr uint32_t MaxPathSegment = 32;
inline constexpr uint32_t MaxInitialSlices = 65536;
inline constexpr milliseconds MaxDeadline{600000};

/** @return All problems, in the order of the declarations; empty if they are valid. */
ConfigProblems checkDeclarations(const Declarations &declarations);

} // namespace wisteriahoist
