#include <cyclamenspool/gateway/storechecks.h>

#include <cyclamenspool/gateway/storelog.h>
#include <cyclamenspool/gateway/watchpolicy.h>

#include <algorithm>
#include <array>
#include <utility>

namespace cyclamenspool::gateway {

namespace internal {

constexpr core::Milliseconds maxAnswerTime{1000}; /* a check without an answer for longer counts as a failed call */
constexpr core::Milliseconds watchHeadStart{100}; /* for the configuration's own watch, which normally returns a change before it is asked for */
constexpr std::array<Catalog::Section, 2> sections{Catalog::Section::OperatorConfig, Catalog::Section::Servers};

} // namespace internal

StoreChecks::StoreChecks(boost::asio::io_context &context, std::string address, Catalog &catalog, StoreCheckCallbacks callbacks)
    : catalog_(catalog)
    , callbacks_(std::move(callbacks))
    , poller_(context, std::move(address))
    , checkTimer_(context)
    , configurationTimer_(context)
{
}

void StoreChecks::start()
{
    check();
}

void StoreChecks::stop()
{
    checkTimer_.cancel();
    configurationTimer_.cancel();
    poller_.stop();
}

void StoreChecks::check()
{
    const bool isLate = isUnanswered();
    if (isLate) {
        onUnavailable("a check was not answered");
    }
    // The gateway that takes over the duty may not be answered either, and would need as long again to notice it.
    if (catalog_.isComplete() && (isLate || callbacks_.isOnDuty())) {
        poll(Catalog::Section::Servers);
    }
    checkTimer_.expires_after(callbacks_.period());
    checkTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            check();
        }
    });
}

bool StoreChecks::isReceiving(Catalog::Section section) const
{
    return callbacks_.isReceiving(section) || poller_.isReceiving(std::string(Catalog::prefixOf(section)));
}

bool StoreChecks::isUnanswered() const
{
    return poller_.oldestAge() > internal::maxAnswerTime && std::none_of(internal::sections.begin(), internal::sections.end(), [this](auto section) {
               return isReceiving(section);
           });
}

void StoreChecks::poll(Catalog::Section section)
{
    const auto position = catalog_.watchPosition(section);
    if (position.isEmpty()) {
        return;
    }
    platform::StorePollCallbacks callbacks;
    callbacks.onChanges = [this, section](const platform::StoreChanges &changes) {
        onChanges(section, changes);
    };
    const std::string prefix(Catalog::prefixOf(section));
    callbacks.onRead = [prefix](const platform::StoreResponse &response) {
        logSlowRead(prefix, "check", response);
    };
    callbacks.onListNeeded = [this, section] {
        callbacks_.relist(section);
    };
    callbacks.onFailure = [this](const std::string &reason) {
        onUnavailable(reason);
    };
    callbacks.onMalformed = logMalformedItem;
    callbacks.onEra = callbacks_.onEra;
    poller_.poll(prefix, position, maxWatchBytes(catalog_.listBytes(section)), std::move(callbacks));
}

void StoreChecks::onChanges(Catalog::Section section, const platform::StoreChanges &changes)
{
    onAvailable();
    const bool isWatchLate = changes.position > catalog_.position(section) && !changes.items.empty();
    callbacks_.onChanges(section, changes);
    if (isWatchLate) {
        callbacks_.replaceCall(section);
    }
    if (section == Catalog::Section::Servers) {
        pollConfigurationIfBehind(changes);
    }
}

void StoreChecks::pollConfigurationIfBehind(const platform::StoreChanges &changes)
{
    const auto isBehind = [this, storePosition = changes.position] {
        return catalog_.position(Catalog::Section::OperatorConfig) < storePosition;
    };
    if (!isBehind()) {
        catalog_.onStoreChanges(Catalog::Section::OperatorConfig, {}, changes.position, changes.asOf);
        return;
    }
    configurationTimer_.expires_after(internal::watchHeadStart);
    configurationTimer_.async_wait([this, isBehind](const boost::system::error_code &error) {
        if (!error && isBehind() && !isReceiving(Catalog::Section::OperatorConfig)) {
            poll(Catalog::Section::OperatorConfig);
        }
    });
}

void StoreChecks::onUnavailable(const std::string &reason)
{
    for (const auto section : internal::sections) {
        catalog_.onStoreFailure(section, reason);
    }
}

void StoreChecks::onAvailable()
{
    for (const auto section : internal::sections) {
        // After a restore, the section's call is already one for the list of the new era.
        if (catalog_.isStoreUnavailable(section) && !catalog_.timeWithoutEra(section)) {
            // The section's own watch may wait on a connection that carries nothing further.
            callbacks_.replaceCall(section);
            catalog_.onStoreChanges(section, {}, catalog_.position(section), {});
        }
    }
}

} // namespace cyclamenspool::gateway
