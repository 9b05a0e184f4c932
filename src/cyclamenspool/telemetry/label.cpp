#include <cyclamenspool/telemetry/label.h>

namespace cyclamenspool::telemetry {

std::string label(const char *name, std::string_view value)
{
    std::string text = std::string(name) + "=\"";
    for (const char letter : value) {
        if (letter == '"' || letter == '\\') {
            text += '\\';
        }
        text += letter == '\n' ? ' ' : letter;
    }
    return text + "\"";
}

} // namespace cyclamenspool::telemetry
