#pragma once

#include <string>
#include <string_view>

namespace cyclamenspool::telemetry {

/** @brief Formats a label of a metric. @param name Name. @param value Value; quotes, backslashes and line breaks in it are escaped or replaced. @return
 * name="value". */
[[nodiscard]] std::string label(const char *name, std::string_view value);

} // namespace cyclamenspool::telemetry
