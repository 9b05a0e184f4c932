#pragma once

#include <cyclamenspool/config/gatewaysettings.h>
#include <cyclamenspool/core/now.h>
#include <cyclamenspool/gateway/catalog.h>
#include <cyclamenspool/gateway/dispatcher.h>
#include <cyclamenspool/wire/peerpool.h>
#include <cyclamenspool/wire/peerserver.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenspool::wire {
class GatewayNews;
} // namespace cyclamenspool::wire

namespace cyclamenspool::gateway {

/** @brief Another gateway as operators see it. */
struct PeerView {
    std::string vm; /**< Empty: it was never heard itself. */
    std::string address;
    core::Milliseconds age{0}; /**< Since it was heard. */
};

/** @brief Exchanges loads, suspicions and revisions with the other gateways; finds them from seeds. Used on the control thread only. */
class PeerNews
{
public:
    /** @brief Creates it. @param context Control thread's context. @param settings Settings. @param dispatcher Tables. @param catalog Platform's items. */
    PeerNews(boost::asio::io_context &context, const config::GatewaySettings &settings, Dispatcher &dispatcher, Catalog &catalog);

    /** @brief Listens, and starts to talk to the seeds. @throws boost::system::system_error If the address cannot be bound. */
    void start();

    /** @brief Adds seeds; those known stay. @param seeds Addresses. */
    void addSeeds(const std::vector<std::string> &seeds);

    /** @brief Closes everything. */
    void stop();

    /** @brief Counts the gateways that were heard lately. @return Count. */
    [[nodiscard]] std::size_t heardPeers() const;

    /** @brief Lists the gateways that were heard and not forgotten since. @return Gateways, by address. */
    [[nodiscard]] std::vector<PeerView> list() const;

private:
    struct Peer {
        std::string vm;
        core::MonotonicTime heard{}; /* itself, not through others */
        core::MonotonicTime sent{};
        bool isAsked = false; /* its reply is awaited */
        bool isSeed = false;
        bool isIntroduced = false; /* it was told of all peers */
        std::string lastIntroduced; /* address of the last peer that it was told of */
        std::uint64_t exchange = 0;
        std::uint64_t placementsTold = 0;
    };

    void tick();
    void exchange(const std::string &address, Peer &peer, core::MonotonicTime now);
    bool onNews(const wire::GatewayNews &news);
    void pullIfBehind(const std::string &address, Catalog::Section section, std::uint64_t revision);
    void onMessage(const std::shared_ptr<wire::ServerStream> &stream, const std::string &path, const std::string &message);
    void forgetSilent(core::MonotonicTime now);
    void introduce(Peer &listener, wire::GatewayNews &news, core::MonotonicTime now) const;
    void refreshSharedNews(core::MonotonicTime now);
    [[nodiscard]] std::string ownNews(Peer &listener);
    [[nodiscard]] std::chrono::milliseconds period() const;
    [[nodiscard]] std::chrono::milliseconds tickPeriod() const;
    [[nodiscard]] std::chrono::milliseconds quietLimit() const;

    boost::asio::io_context &context_;
    const config::GatewaySettings &settings_;
    Dispatcher &dispatcher_;
    Catalog &catalog_;
    wire::PeerPool pool_;
    std::unique_ptr<wire::PeerServer> server_;
    boost::asio::steady_timer timer_;
    std::map<std::string, Peer> peers_; /* by address */
    std::map<Catalog::Section, core::MonotonicTime> pulled_;
    std::uint64_t exchanges_ = 0;
    std::string sharedNews_; /* what all peers are told, as bytes */
    core::MonotonicTime sharedNewsMade_{};
};

} // namespace cyclamenspool::gateway
