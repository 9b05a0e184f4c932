#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace cyclamenspool::gateway {

/**
 * @brief Limits the memory that the bodies of requests take from their headers to the end of their last use. Thread safe.
 *
 * A process that exceeds its memory is killed with every request in it, so a body for which there is no room is refused before it is read. The last eighth is
 * left for small bodies.
 */
class BodyMemory
{
public:
    /** @brief Memory of one body; returned on destruction. */
    class Reservation
    {
    public:
        Reservation() noexcept = default;
        ~Reservation();
        Reservation(Reservation &&other) noexcept;
        Reservation &operator=(Reservation &&other) noexcept;
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;

        /** @brief Extends the reservation. @param bytes Size of the body so far. @return False if there is no room; the reservation stays as it is. */
        [[nodiscard]] bool extend(std::uint64_t bytes) noexcept;

    private:
        friend class BodyMemory;

        explicit Reservation(BodyMemory &memory) noexcept
            : memory_(&memory)
        {
        }

        BodyMemory *memory_ = nullptr;
        std::uint64_t bytes_ = 0;
    };

    /** @brief Changes the limit. @param bytes Limit for all bodies together; 0: none. */
    void setLimit(std::uint64_t bytes) noexcept
    {
        limit_ = bytes;
    }

    /** @brief Returns an empty reservation. */
    [[nodiscard]] Reservation begin() noexcept
    {
        return Reservation(*this);
    }

    /** @brief Returns the memory of all bodies in bytes. */
    [[nodiscard]] std::uint64_t reservedBytes() const noexcept
    {
        return reserved_;
    }

private:
    [[nodiscard]] bool reserve(std::uint64_t bytes, std::uint64_t total) noexcept;

    std::atomic<std::uint64_t> limit_{0};
    std::atomic<std::uint64_t> reserved_{0};
};

/** @brief Body of a request, shared by its attempts. */
struct RequestBody {
    std::string bytes;
    BodyMemory::Reservation reservation;
};

/** @brief Returns the memory of the VM in bytes, as the kernel reports it; 0 if it is unknown. */
[[nodiscard]] std::uint64_t vmMemory() noexcept;

using RequestBodyPtr = std::shared_ptr<const RequestBody>;

} // namespace cyclamenspool::gateway
