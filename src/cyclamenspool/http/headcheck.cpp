#include <cyclamenspool/http/headcheck.h>

#include <algorithm>

namespace cyclamenspool::http {

namespace internal {

constexpr std::string_view versionName = "HTTP/";
constexpr std::string_view statusLineForm = "#.# ###"; /* what follows the name; # is a digit */

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

} // namespace internal

bool holdsStatusLine(std::string_view text) noexcept
{
    for (auto place = text.find(internal::versionName); place != std::string_view::npos; place = text.find(internal::versionName, place + 1)) {
        if (internal::hasForm(text.substr(place + internal::versionName.size()))) {
            return true;
        }
    }
    return false;
}

bool holdsSecondHead(std::string_view reason, const boost::beast::http::fields &fields) noexcept
{
    // A name holds no slash, so a status line that begins inside one is a parser's error.
    return holdsStatusLine(reason) || std::any_of(fields.begin(), fields.end(), [](const auto &field) {
               return holdsStatusLine({field.value().data(), field.value().size()});
           });
}

} // namespace cyclamenspool::http
