#pragma once

#include <string>
#include <string_view>

namespace cyclamenspool::telemetry {

/**
 * @brief Formats a metric label in the Prometheus text format.
 * @param name Label name.
 * @param value Label value; quotes and backslashes in it are escaped, line breaks are replaced by spaces.
 * @return Text name="value".
 */
[[nodiscard]] std::string label(const char *name, std::string_view value);

} // namespace cyclamenspool::telemetry
