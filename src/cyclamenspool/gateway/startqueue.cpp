#include <cyclamenspool/gateway/startqueue.h>

#include <boost/asio/post.hpp>

#include <utility>

namespace cyclamenspool::gateway {

StartQueue::Place::Place(std::shared_ptr<State> state, StartHold::Ticket ticket)
    : state_(std::move(state))
    , ticket_(ticket)
{
}

StartQueue::Place::~Place()
{
    state_->hold.remove(ticket_);
    state_->resumes.erase(ticket_);
}

StartQueue::StartQueue(boost::asio::io_context &context)
    : context_(context)
    , timer_(context)
    , state_(std::make_shared<State>())
{
}

void StartQueue::begin(const StartHold::Limits &limits)
{
    state_->hold.setLimits(limits);
    state_->hold.setOutlook(StartOutlook::Pending);
}

void StartQueue::setOutlook(StartOutlook outlook)
{
    boost::asio::post(context_, [this, outlook] {
        state_->hold.setOutlook(outlook);
        resumeDue();
    });
}

std::unique_ptr<StartQueue::Place> StartQueue::hold(const StartHold::Request &request, std::function<void()> resume)
{
    const auto ticket = state_->hold.hold(request, std::chrono::steady_clock::now());
    if (!ticket) {
        return nullptr;
    }
    state_->resumes[*ticket] = std::move(resume);
    auto place = std::make_unique<Place>(state_, *ticket);
    resumeDue();
    return place;
}

void StartQueue::resumeDue()
{
    const auto now = std::chrono::steady_clock::now();
    const auto next = state_->hold.nextDue(now);
    if (!next) {
        timer_.cancel();
        return;
    }
    timer_.expires_at(*next);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        const auto ticket = state_->hold.takeNext(std::chrono::steady_clock::now());
        const auto resume = ticket ? std::exchange(state_->resumes[*ticket], nullptr) : nullptr;
        if (ticket) {
            state_->resumes.erase(*ticket);
        }
        resumeDue(); // First, as the handler may throw.
        if (resume) {
            resume();
        }
    });
}

} // namespace cyclamenspool::gateway
