#include <cyclamenspool/platform/storeera.h>

#include <charconv>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cyclamenspool::platform {

namespace internal {

constexpr std::string_view eraField = "Store-Era";

} // namespace internal

std::uint64_t readStoreEra(const boost::beast::http::fields &header)
{
    const boost::beast::string_view name(internal::eraField.data(), internal::eraField.size());
    const auto found = header.find(name);
    if (found == header.end()) {
        return 0;
    }
    const std::string text(found->value());
    std::uint64_t era = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, era);
    if (parsed.ec != std::errc() || parsed.ptr != end || header.count(name) > 1) {
        throw std::runtime_error("the store responded with a malformed era");
    }
    return era;
}

} // namespace cyclamenspool::platform
