#include <cyclamenspool/gateway/exchange.h>

#include <boost/asio/post.hpp>

namespace cyclamenspool::gateway {

PlacementResult Exchange::placeOrHold()
{
    // A request that may have run, or whose response has started, can't be refused as not run after a wait.
    if (mayHaveRun_ || isRelayStarted()) {
        return worker_.dispatcher().place(*admission_, triedServers_, callerWait());
    }
    HoldOffer offer;
    offer.requestId = requestHead_.id;
    offer.arrivedAt = arrivedAt_;
    offer.callerTimeout = requestHead_.callerTimeout.value_or(std::chrono::milliseconds(0));
    offer.earlier = std::move(held_);
    offer.wake = [self = weak_from_this(), &context = worker_.context()] {
        // Only the worker's thread may hold the last reference to an exchange.
        boost::asio::post(context, [self] {
            const auto exchange = self.lock();
            if (exchange != nullptr && exchange->held_ != nullptr) {
                exchange->onHoldEnded();
            }
        });
    };
    return worker_.dispatcher().placeOrHold(*admission_, triedServers_, callerWait(), std::move(offer));
}

void Exchange::hold(PlacementResult placement)
{
    held_ = std::move(placement.held);
    holdTimer_.expires_after(placement.recheckIn);
    auto self = weak_from_this();
    holdTimer_.async_wait([self](const boost::system::error_code &error) {
        const auto exchange = self.lock();
        if (!error && exchange != nullptr && exchange->held_ != nullptr) {
            exchange->onHoldEnded();
        }
    });
}

void Exchange::onHoldEnded()
{
    holdTimer_.cancel();
    if (endIfCallerLeft()) {
        return;
    }
    try {
        readmit();
    } catch (const core::Error &error) {
        refuse(error.kind(), error.what());
        return;
    }
    tryNextServer();
}

void Exchange::endHold()
{
    holdTimer_.cancel();
    held_.reset();
}

void Exchange::readmit()
{
    if (worker_.dispatcher().routes() == admission_->table) {
        return;
    }
    admit();
    armDeadlineTimer();
    if (admission_->route->isRetryable()) {
        armStallTimer();
    }
}

} // namespace cyclamenspool::gateway
