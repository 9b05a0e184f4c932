#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

namespace cyclamenspool::router {

/**
 * @brief Streams of the attempts in progress. Thread safe.
 *
 * An attempt can end or be cancelled on another thread before the call that opens its stream has returned, so it is announced before that call.
 */
template<typename Stream>
class AttemptStreams
{
public:
    /** @brief Announces an attempt whose stream is about to be opened. */
    void announce(std::uint64_t attemptId)
    {
        const std::lock_guard lock(mutex_);
        streams_[attemptId] = nullptr;
    }

    /** @brief Stores the stream of an announced attempt. @return False if the attempt has ended or was cancelled meanwhile; the stream is not kept then. */
    [[nodiscard]] bool store(std::uint64_t attemptId, std::shared_ptr<Stream> stream)
    {
        const std::lock_guard lock(mutex_);
        const auto found = streams_.find(attemptId);
        if (found == streams_.end()) {
            return false;
        }
        found->second = std::move(stream);
        return true;
    }

    /** @brief Removes an attempt that has ended or is to be cancelled. @return Its stream; null if it is not open yet or unknown. */
    std::shared_ptr<Stream> remove(std::uint64_t attemptId)
    {
        const std::lock_guard lock(mutex_);
        const auto found = streams_.find(attemptId);
        if (found == streams_.end()) {
            return nullptr;
        }
        auto stream = std::move(found->second);
        streams_.erase(found);
        return stream;
    }

    /** @brief Returns the number of attempts in progress. */
    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock(mutex_);
        return streams_.size();
    }

private:
    mutable std::mutex mutex_; /* no other lock is taken while it is held */
    std::map<std::uint64_t, std::shared_ptr<Stream>> streams_; /* null: not open yet */
};

} // namespace cyclamenspool::router
