#include <cyclamenspool/http/headcheck.h>

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace cyclamenspool::http {

namespace internal {

constexpr std::string_view versionName = "HTTP/";
constexpr std::string_view statusLineForm = "#.# ###"; /* what follows the name; # is a digit */
constexpr std::string_view blankLine = "\r\n\r\n";
constexpr std::size_t statusOffset = 9; /* of the code in a status line */
constexpr std::size_t statusDigits = 3;
constexpr int minStatus = 100;
constexpr int maxStatus = 599;
constexpr int switchingProtocols = 101;

bool isDigit(char character) noexcept
{
    return character >= '0' && character <= '9';
}

bool hasForm(std::string_view text) noexcept
{
    return text.size() >= statusLineForm.size() && std::equal(statusLineForm.begin(), statusLineForm.end(), text.begin(), [](char expected, char character) {
               return expected == '#' ? isDigit(character) : character == expected;
           });
}

bool hasValidStatus(std::string_view head) noexcept
{
    int status = 0;
    if (head.size() >= statusOffset + statusDigits) {
        const auto *digits = head.data() + statusOffset;
        std::from_chars(digits, digits + statusDigits, status);
    }
    return status >= minStatus && status <= maxStatus && status != switchingProtocols;
}

bool hasFoldedLine(std::string_view head) noexcept
{
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

} // namespace internal

std::string_view completeHead(std::string_view bytes) noexcept
{
    const auto end = bytes.find(internal::blankLine);
    return end == std::string_view::npos ? std::string_view() : bytes.substr(0, end + internal::blankLine.size());
}

bool holdsStatusLine(std::string_view text) noexcept
{
    for (auto place = text.find(internal::versionName); place != std::string_view::npos; place = text.find(internal::versionName, place + 1)) {
        if (internal::hasForm(text.substr(place + internal::versionName.size()))) {
            return true;
        }
    }
    return false;
}

const char *headFault(std::string_view head) noexcept
{
    if (!internal::hasValidStatus(head)) {
        return "the response's status is not one from 100 to 599, or is 101 without a request for an upgrade";
    }
    if (internal::hasFoldedLine(head)) {
        return "the response's head has a folded line";
    }
    if (holdsStatusLine(head.substr(1))) {
        return "the response's head holds parts of two responses";
    }
    return nullptr;
}

} // namespace cyclamenspool::http
