#include <cyclamenspool/telemetry/label.h>

namespace cyclamenspool::telemetry {

std::string label(const char *name, std::string_view value)
{
    std::string text = std::string(name) + "=\"";
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            text += '\\';
        }
        text += character == '\n' ? ' ' : character;
    }
    return text + "\"";
}

} // namespace cyclamenspool::telemetry
