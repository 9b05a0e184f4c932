#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/gateway/catalog.h>
#include <cyclamenspool/platform/storepoller.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cyclamenspool::gateway {

/** @brief What StoreChecks asks of its owner; all are called on the control thread. */
struct StoreCheckCallbacks {
    std::function<core::Milliseconds()> period; /**< Returns the time between two checks. */
    std::function<bool()> isOnDuty; /**< Returns whether this gateway checks the store for its zone. */
    std::function<void(Catalog::Section, const platform::StoreChanges &)> onChanges; /**< Applies changes, none included. */
    std::function<bool(Catalog::Section)> isReceiving; /**< Returns whether a response to the section's own call is arriving. */
    std::function<void(Catalog::Section)> replaceCall; /**< Replaces the section's own call unless its response is arriving. */
    std::function<void(Catalog::Section)> relist; /**< Lists the section again unless a response to its own call is arriving. */
    std::function<bool(std::uint64_t)> onEra; /**< As platform::StorePollCallbacks::onEra. */
};

/**
 * @brief Asks the store at short intervals what has changed, so that a watch that it never answers delays no change.
 *
 * Peers cannot show such a loss if it hits the watches of all gateways. The store has one revision counter: a check reads the changes of the list of backend
 * servers, and those of the operator's documents only if the store's position is later than the one up to which they are known. While a copy of the latest
 * era is missing there is nothing to check: the section is being listed. Control thread only.
 *
 * Checks share the link with the section's own calls. While a large response arrives on it, a late check shows no outage, and the same changes are not
 * read a second time.
 */
class StoreChecks
{
public:
    /**
     * @brief Creates an instance that does not check yet.
     * @param context Context of the control thread.
     * @param address IP address and port of the store.
     * @param catalog Copies to bring up to date.
     * @param callbacks See StoreCheckCallbacks.
     */
    StoreChecks(boost::asio::io_context &context, std::string address, Catalog &catalog, StoreCheckCallbacks callbacks);

    /** @brief Starts checking; a gateway without copies skips its checks, as does one that is not on duty unless an earlier check is unanswered. */
    void start();

    /** @brief Ends all checks for good. */
    void stop();

private:
    void check();
    [[nodiscard]] bool isReceiving(Catalog::Section section) const;
    [[nodiscard]] bool isUnanswered() const;
    void poll(Catalog::Section section);
    void onChanges(Catalog::Section section, const platform::StoreChanges &changes);
    void onUnavailable(const std::string &reason);
    void onAvailable();
    void pollConfigurationIfBehind(const platform::StoreChanges &changes);

    Catalog &catalog_;
    StoreCheckCallbacks callbacks_;
    platform::StorePoller poller_;
    boost::asio::steady_timer checkTimer_;
    boost::asio::steady_timer configurationTimer_;
};

} // namespace cyclamenspool::gateway
