#include <cyclamenspool/wire/openconnections.h>

#include <utility>

namespace cyclamenspool::wire {

void OpenConnections::onQuiet(std::function<void()> handler)
{
    const std::lock_guard lock(mutex_);
    onQuiet_ = std::move(handler);
}

void OpenConnections::add()
{
    const std::lock_guard lock(mutex_);
    ++count_;
}

void OpenConnections::remove()
{
    {
        const std::lock_guard lock(mutex_);
        --count_;
    }
    callIfQuiet();
}

void OpenConnections::endAccepting()
{
    {
        const std::lock_guard lock(mutex_);
        isAccepting_ = false;
    }
    callIfQuiet();
}

void OpenConnections::callIfQuiet()
{
    std::function<void()> handler;
    {
        const std::lock_guard lock(mutex_);
        if (isAccepting_ || count_ > 0) {
            return;
        }
        handler = std::exchange(onQuiet_, nullptr);
    }
    if (handler) {
        handler();
    }
}

} // namespace cyclamenspool::wire
