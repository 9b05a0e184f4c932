#include <cyclamenspool/core/uuid.h>

#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <cstddef>
#include <cstdint>

namespace cyclamenspool::core {

namespace internal {

constexpr std::size_t timestampBytes = 6;
constexpr std::size_t textLength = 36;
constexpr unsigned bitsPerByte = 8;

} // namespace internal

std::string makeUuid7(WallTime wall, RandomSource &random)
{
    boost::uuids::uuid id{};
    std::uint64_t bits = random.bits();
    for (std::size_t i = internal::timestampBytes; i < id.size(); ++i) {
        if (i == internal::bitsPerByte) { /* byte 8 (a byte has as many bits by chance): the last 8 bytes are filled from a second number */
            bits = random.bits();
        }
        id.data[i] = static_cast<std::uint8_t>(bits);
        bits >>= internal::bitsPerByte;
    }
    auto millis = static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(wall.time_since_epoch()).count());
    for (std::size_t i = internal::timestampBytes; i-- > 0;) {
        id.data[i] = static_cast<std::uint8_t>(millis);
        millis >>= internal::bitsPerByte;
    }
    id.data[6] = static_cast<std::uint8_t>((id.data[6] & 0x0F) | 0x70); /* version 7 */
    id.data[8] = static_cast<std::uint8_t>((id.data[8] & 0x3F) | 0x80); /* variant of RFC 9562 */
    return boost::uuids::to_string(id);
}

std::optional<WallTime> uuid7Time(std::string_view text)
{
    if (text.size() != internal::textLength) {
        return std::nullopt;
    }
    boost::uuids::uuid id{};
    try {
        id = boost::uuids::string_generator()(text.begin(), text.end());
    } catch (const std::exception &) {
        return std::nullopt;
    }
    const bool isVersion7 = (id.data[6] >> 4U) == 7;
    if (!isVersion7) {
        return std::nullopt;
    }
    std::uint64_t millis = 0;
    for (std::size_t i = 0; i < internal::timestampBytes; ++i) {
        millis = (millis << internal::bitsPerByte) | id.data[i];
    }
    return WallTime(Milliseconds(static_cast<std::int64_t>(millis)));
}

} // namespace cyclamenspool::core
