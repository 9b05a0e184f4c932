#include <cyclamenspool/gateway/bodymemory.h>

#include <sys/sysinfo.h>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::uint64_t smallBodyBytes = 64UL * 1024;
constexpr std::uint64_t smallBodyDivisor = 8; /* of the limit; the part that large bodies leave free */

} // namespace internal

BodyMemory::Reservation::~Reservation()
{
    if (memory_ != nullptr) {
        memory_->reserved_ -= bytes_;
    }
}

BodyMemory::Reservation::Reservation(Reservation &&other) noexcept
    : memory_(std::exchange(other.memory_, nullptr))
    , bytes_(std::exchange(other.bytes_, 0))
{
}

BodyMemory::Reservation &BodyMemory::Reservation::operator=(Reservation &&other) noexcept
{
    std::swap(memory_, other.memory_);
    std::swap(bytes_, other.bytes_);
    return *this;
}

bool BodyMemory::Reservation::extend(std::uint64_t bytes) noexcept
{
    if (memory_ == nullptr || bytes <= bytes_) {
        return true;
    }
    if (!memory_->reserve(bytes - bytes_, bytes)) {
        return false;
    }
    bytes_ = bytes;
    return true;
}

bool BodyMemory::reserve(std::uint64_t bytes, std::uint64_t total) noexcept
{
    const auto limit = limit_.load();
    const auto kept = total > internal::smallBodyBytes ? limit / internal::smallBodyDivisor : 0;
    auto reserved = reserved_.load();
    do {
        if (limit != 0 && reserved + bytes > limit - kept) {
            return false;
        }
    } while (!reserved_.compare_exchange_weak(reserved, reserved + bytes));
    return true;
}

std::uint64_t vmMemory() noexcept
{
    struct sysinfo info {
    };
    return ::sysinfo(&info) == 0 ? static_cast<std::uint64_t>(info.totalram) * info.mem_unit : 0;
}

} // namespace cyclamenspool::gateway
