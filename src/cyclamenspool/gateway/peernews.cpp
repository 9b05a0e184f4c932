#include <cyclamenspool/gateway/peernews.h>

#include <cyclamenspool/gateway/peermessages.h>
#include <cyclamenspool/telemetry/log.h>
#include <cyclamenspool/wire/endpoint.h>
#include <cyclamenspool/wire/generated/messages.pb.h>

#include <algorithm>
#include <optional>

namespace cyclamenspool::gateway {

namespace internal {

using core::Milliseconds;

constexpr Milliseconds shortestPeriod{200};
constexpr Milliseconds periodForPeer{5}; /* added for each peer, so that the cost of a gateway does not grow with their number */
constexpr Milliseconds replyTimeout{1000};
constexpr Milliseconds silentPeriod{1000}; /* between two tries at a peer that does not answer */
constexpr Milliseconds shortestQuiet{1500}; /* a peer that was not heard for so long counts as silent */
constexpr int quietPeriods = 3; /* or for so many periods, if that is longer */
constexpr int exchangesPerTick = 16; /* above it, the period is split, so that requests do not wait for all exchanges at once */
constexpr Milliseconds sharedNewsAge{20}; /* loads and suspicions are listed once for the peers of one tick */
constexpr std::size_t introducedAtOnce = 2; /* peers that are named to another one in turn */
constexpr Milliseconds forgetAfter{60000};
constexpr Milliseconds introduceLimit{5000}; /* peers heard more recently are named to others */
constexpr Milliseconds pullPeriod{300};
constexpr const char *newsPath = "/news";
constexpr const char *itemsPath = "/items";

wire::SessionLimits sessionLimits()
{
    wire::SessionLimits limits;
    limits.pingPeriod = Milliseconds(500);
    return limits;
}

Milliseconds sinceOf(core::MonotonicTime time, core::MonotonicTime now)
{
    return std::chrono::duration_cast<Milliseconds>(now - time);
}

/** @brief Names a message in the log if it could not be read. @param message What was read of it. @param path Path that it came by. @param bytes Its size.
 * @return The message. */
template<typename Message>
std::optional<Message> logIfUnreadable(std::optional<Message> message, const char *path, std::size_t bytes)
{
    if (!message) {
        telemetry::logLine("peer_message_unreadable", {{"path", path}, {"bytes", bytes}});
    }
    return message;
}

bool isAddress(const std::string &text)
{
    try {
        static_cast<void>(wire::endpointOf(text));
        return true;
    } catch (const std::exception &error) {
        telemetry::logLine("peer_address_passed_over", {{"address", text}, {"reason", error.what()}});
        return false;
    }
}

} // namespace internal

PeerNews::PeerNews(boost::asio::io_context &context, const config::GatewaySettings &settings, Dispatcher &dispatcher, Catalog &catalog)
    : context_(context)
    , settings_(settings)
    , dispatcher_(dispatcher)
    , catalog_(catalog)
    , pool_(context, internal::sessionLimits())
    , timer_(context)
{
    addSeeds(settings_.seedPeers);
}

void PeerNews::addSeeds(const std::vector<std::string> &seeds)
{
    for (const auto &seed : seeds) {
        if (seed != settings_.peerAddress) {
            peers_[seed].isSeed = true;
        }
    }
}

void PeerNews::start()
{
    const auto handler = [this](const std::shared_ptr<wire::ServerStream> &stream, const std::string &path, const std::string &message) {
        onMessage(stream, path, message);
    };
    server_ = std::make_unique<wire::PeerServer>(context_, settings_.peerAddress, internal::sessionLimits(), handler);
    tick();
}

void PeerNews::stop()
{
    timer_.cancel();
    if (server_ != nullptr) {
        server_->close();
    }
    pool_.close();
}

std::size_t PeerNews::heardPeers() const
{
    const auto now = std::chrono::steady_clock::now();
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [now, limit = quietLimit()](const auto &entry) {
        return internal::sinceOf(entry.second.heard, now) < limit;
    }));
}

std::vector<PeerView> PeerNews::list() const
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<PeerView> views;
    for (const auto &[address, peer] : peers_) {
        if (!peer.vm.empty()) {
            views.push_back({peer.vm, address, std::chrono::duration_cast<core::Milliseconds>(now - peer.heard)});
        }
    }
    return views;
}

std::chrono::milliseconds PeerNews::period() const
{
    return internal::shortestPeriod + internal::periodForPeer * static_cast<int>(peers_.size());
}

std::chrono::milliseconds PeerNews::tickPeriod() const
{
    const auto ticks = 1 + static_cast<int>(peers_.size()) / internal::exchangesPerTick;
    return period() / ticks;
}

std::chrono::milliseconds PeerNews::quietLimit() const
{
    return std::max(internal::shortestQuiet, period() * internal::quietPeriods);
}

void PeerNews::tick()
{
    const auto now = std::chrono::steady_clock::now();
    forgetSilent(now);
    dispatcher_.onFleet([limit = quietLimit()](Fleet &fleet, core::MonotonicTime time) {
        fleet.forgetSilentPeers(limit, time);
    });
    const auto period = this->period();
    const auto tickPeriod = this->tickPeriod();
    for (auto &[address, peer] : peers_) {
        if (now - peer.sent + tickPeriod / 2 < period) {
            continue;
        }
        const bool isQuiet = internal::sinceOf(peer.heard, now) > quietLimit();
        // One exchange carries the news of both sides, so the gateway with the lower address starts it.
        const bool isStarter = settings_.peerAddress < address;
        const bool isOverdue = internal::sinceOf(peer.sent, now) > (isQuiet ? internal::silentPeriod : internal::replyTimeout);
        if (isOverdue) {
            peer.isAsked = false;
        }
        if (!peer.isAsked && (isStarter || isQuiet) && (isOverdue || !isQuiet)) {
            exchange(address, peer, now);
        }
    }
    timer_.expires_after(tickPeriod);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void PeerNews::forgetSilent(core::MonotonicTime now)
{
    for (auto peer = peers_.begin(); peer != peers_.end();) {
        const bool isForgotten = !peer->second.isSeed && internal::sinceOf(peer->second.heard, now) > internal::forgetAfter;
        peer = isForgotten ? peers_.erase(peer) : std::next(peer);
    }
}

void PeerNews::exchange(const std::string &address, Peer &peer, core::MonotonicTime now)
{
    peer.isAsked = true;
    peer.sent = now;
    peer.exchange = ++exchanges_;
    wire::StreamEvents events;
    events.onMessage = [this](const std::string &message) {
        const auto news = internal::logIfUnreadable(readNews(message), internal::newsPath, message.size());
        if (news) {
            onNews(*news);
        }
    };
    events.onEnd = [this, address, number = peer.exchange](const wire::StreamEnd &) {
        const auto found = peers_.find(address);
        if (found != peers_.end() && found->second.exchange == number) {
            found->second.isAsked = false;
        }
    };
    pool_.submit(address, internal::newsPath, ownNews(peer), std::move(events));
}

void PeerNews::introduce(Peer &listener, wire::GatewayNews &news, core::MonotonicTime now) const
{
    // One that has just been met hears of all; later a few in turn are enough to mend what it has missed.
    const auto count = listener.isIntroduced ? std::min(internal::introducedAtOnce, peers_.size()) : peers_.size();
    listener.isIntroduced = listener.heard != core::MonotonicTime{};
    for (std::size_t i = 0; i < count; ++i) {
        auto next = peers_.upper_bound(listener.lastIntroduced);
        next = next == peers_.end() ? peers_.begin() : next;
        listener.lastIntroduced = next->first;
        const auto age = internal::sinceOf(next->second.heard, now);
        if (age < internal::introduceLimit) {
            auto *known = news.add_peers();
            known->set_address(next->first);
            known->set_heard_age_ms(age.count());
        }
    }
}

void PeerNews::refreshSharedNews(core::MonotonicTime now)
{
    if (now - sharedNewsMade_ < internal::sharedNewsAge) {
        return;
    }
    sharedNewsMade_ = now;
    wire::GatewayNews news;
    news.set_vm(settings_.vm);
    news.set_address(settings_.peerAddress);
    dispatcher_.onFleet([&news](const Fleet &fleet, core::MonotonicTime time) {
        for (const auto &load : fleet.loads()) {
            auto *entry = news.add_loads();
            entry->set_backend_server(load.server);
            entry->set_outstanding(static_cast<std::uint32_t>(load.outstanding));
        }
        for (const auto &suspicion : fleet.suspicions(time)) {
            auto *entry = news.add_suspicions();
            entry->set_backend_server(suspicion.server);
            entry->set_lasts_ms(suspicion.lasts.count());
        }
    });
    sharedNews_ = news.SerializeAsString();
}

std::string PeerNews::ownNews(Peer &listener)
{
    const auto now = std::chrono::steady_clock::now();
    refreshSharedNews(now);
    wire::GatewayNews news;
    introduce(listener, news, now);
    for (const auto &placement : dispatcher_.placementsSince(listener.placementsTold)) {
        auto *entry = news.add_placed();
        entry->set_history(placement.history);
        entry->set_backend_server(placement.server);
    }
    news.set_operator_revision(catalog_.revision(Catalog::Section::Operators));
    news.set_server_revision(catalog_.revision(Catalog::Section::Servers));
    // Messages of this form are merged by writing one after the other.
    return sharedNews_ + news.SerializeAsString();
}

bool PeerNews::onNews(const wire::GatewayNews &news)
{
    const auto now = std::chrono::steady_clock::now();
    if (news.address() == settings_.peerAddress || !internal::isAddress(news.address())) {
        return false;
    }
    auto &peer = peers_[news.address()];
    if (internal::sinceOf(peer.heard, now) > quietLimit()) {
        telemetry::logLine("peer_heard", {{"peer", news.vm()}, {"address", news.address()}});
        peer.isIntroduced = false;
    }
    peer.vm = news.vm();
    peer.heard = now;
    dispatcher_.onGateway(news.vm());
    const auto loads = loadsOf(news);
    const auto suspicions = suspicionsOf(news);
    dispatcher_.onFleet([&](Fleet &fleet, core::MonotonicTime time) {
        fleet.onPeerLoads(news.vm(), loads, time);
        for (const auto &suspicion : suspicions) {
            fleet.onPeerSuspicion(suspicion, time);
        }
    });
    std::vector<HistoryPlacement> placements;
    for (const auto &placed : news.placed()) {
        placements.push_back({placed.history(), placed.backend_server()});
    }
    dispatcher_.onPeerPlacements(placements);
    for (const auto &known : news.peers()) {
        const bool isKnown = known.address() == settings_.peerAddress || peers_.count(known.address()) > 0;
        if (!isKnown && internal::isAddress(known.address())) {
            peers_[known.address()].heard = now - core::Milliseconds(known.heard_age_ms());
        }
    }
    pullIfBehind(news.address(), Catalog::Section::Operators, news.operator_revision());
    pullIfBehind(news.address(), Catalog::Section::Servers, news.server_revision());
    return true;
}

void PeerNews::pullIfBehind(const std::string &address, Catalog::Section section, std::uint64_t revision)
{
    const auto now = std::chrono::steady_clock::now();
    const bool isBehind = catalog_.isIll(section) && revision > catalog_.revision(section);
    if (!isBehind || internal::sinceOf(pulled_[section], now) < internal::pullPeriod) {
        return;
    }
    pulled_[section] = now;
    wire::ItemPull pull;
    pull.set_prefix(std::string(Catalog::prefixOf(section)));
    wire::StreamEvents events;
    events.onMessage = [this, section](const std::string &message) {
        const auto copy = internal::logIfUnreadable(readCopy(message), internal::itemsPath, message.size());
        if (copy) {
            catalog_.onPeerCopy(section, *copy);
        }
    };
    pool_.submit(address, internal::itemsPath, pull.SerializeAsString(), std::move(events));
}

void PeerNews::onMessage(const std::shared_ptr<wire::ServerStream> &stream, const std::string &path, const std::string &message)
{
    std::string answer;
    if (path == internal::newsPath) {
        const auto news = internal::logIfUnreadable(readNews(message), internal::newsPath, message.size());
        if (news && onNews(*news)) {
            answer = ownNews(peers_[news->address()]);
        }
    } else if (path == internal::itemsPath) {
        const auto section = Catalog::sectionOf(pulledPrefix(message));
        answer = section ? writeCopy(catalog_.copy(*section)) : std::string();
    }
    stream->send(answer, true);
}

} // namespace cyclamenspool::gateway
