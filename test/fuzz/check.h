#pragma once

#include <cstdio>
#include <cstdlib>

namespace cyclamenspool::fuzz {

/** @brief Ends the run as a finding unless a condition holds. @param holds Condition. @param what What should hold. */
inline void check(bool holds, const char *what)
{
    if (!holds) {
        std::fprintf(stderr, "does not hold: %s\n", what);
        std::abort();
    }
}

} // namespace cyclamenspool::fuzz
