#pragma once

#include <cstdio>
#include <cstdlib>

namespace cyclamenspool::fuzz {

/** @brief Aborts, which the fuzzer reports as a finding, if a condition is false. @param condition Condition. @param invariant Text for the report. */
inline void check(bool condition, const char *invariant)
{
    if (!condition) {
        std::fprintf(stderr, "invariant violated: %s\n", invariant);
        std::abort();
    }
}

} // namespace cyclamenspool::fuzz
