#pragma once

#include <cstddef>
#include <functional>
#include <mutex>

namespace cyclamenspool::wire {

/** @brief Counts the open connections of a listener, and reports once that none is open and none can follow. Thread safe. */
class OpenConnections
{
public:
    /** @brief Sets the handler of the report. @param handler Called without a lock held, by the function that ends the last connection; may be empty. */
    void onQuiet(std::function<void()> handler);

    /** @brief Counts a connection as open, from its acceptance. */
    void add();

    /** @brief Counts a connection as ended. */
    void remove();

    /** @brief States that no connection can follow. */
    void endAccepting();

private:
    void callIfQuiet();

    std::mutex mutex_; /* guards the members below; no other lock is taken while it is held */
    std::size_t count_ = 0;
    bool isAccepting_ = true;
    std::function<void()> onQuiet_;
};

} // namespace cyclamenspool::wire
