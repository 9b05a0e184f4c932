#include <cyclamenspool/node/documentsync.h>

#include <cyclamenspool/http/client.h>
#include <cyclamenspool/telemetry/log.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>

namespace cyclamenspool::node {

namespace asio = boost::asio;

namespace internal {

constexpr std::size_t pushFanOut = 4; /* number of peers to which a change is pushed */
constexpr std::size_t refreshPeers = 3; /* number of peers pulled from at the start and in a refresh */
constexpr core::Milliseconds maxWatchWait{5000}; /* longest wait for a change in one long poll */
constexpr core::Milliseconds errorBackoff{500}; /* before the next call after an error or an invalid document */
constexpr core::Milliseconds peerReplyTime{300}; /* wait for the replies of peers after a pull */
constexpr core::Milliseconds serviceTimeout{1000}; /* for a call, in addition to its long-poll wait */
constexpr core::Milliseconds maxContactAge{std::chrono::hours(24 * 365)}; /* also the age before the first contact */
constexpr const char *vmListName = "vms"; /* document with the list of VMs */

} // namespace internal

DocumentSync::DocumentSync(asio::io_context &context,
                           const config::Settings &settings,
                           config::DocumentStore &store,
                           wire::PeerConnectionPool &peers,
                           std::function<void()> onChange)
    : context_(context)
    , settings_(settings)
    , store_(store)
    , peers_(peers)
    , onChange_(std::move(onChange))
    , random_(std::random_device{}())
    , lastServiceContact_(std::chrono::steady_clock::now() - internal::maxContactAge)
{
}

std::vector<std::string> DocumentSync::documentNames() const
{
    auto names = settings_.documents;
    names.emplace_back(internal::vmListName);
    return names;
}

bool DocumentSync::hasAllDocuments() const
{
    const auto names = documentNames();
    return std::all_of(names.begin(), names.end(), [this](const std::string &name) {
        return store_.revision(name) > 0;
    });
}

void DocumentSync::start()
{
    asio::co_spawn(asio::make_strand(context_), bootstrap(), asio::detached);
}

void DocumentSync::stop()
{
    stopped_ = true;
}

asio::awaitable<void> DocumentSync::pause(core::Milliseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> DocumentSync::bootstrap()
{
    while (!stopped_) {
        co_await pullFromPeers();
        const bool isUpToDate = hasAllDocuments() && timeSinceServiceContact() < watchLimits_.updateTimeout;
        if (isUpToDate) {
            break;
        }
        co_await pause(startDelay());
        co_await readServicesAndPeers();
        if (hasAllDocuments()) {
            break;
        }
        co_await pause(internal::errorBackoff);
    }
    ready_ = true;
    for (const auto &name : documentNames()) {
        asio::co_spawn(asio::make_strand(context_), watchDocument(name), asio::detached);
    }
    co_await runAntiEntropy();
}

asio::awaitable<void> DocumentSync::readServicesAndPeers()
{
    for (const auto &name : documentNames()) {
        co_await readService(name, core::Milliseconds(0));
    }
    co_await pullFromPeers();
}

asio::awaitable<void> DocumentSync::pullFromPeers()
{
    const auto peers = randomPeers(internal::refreshPeers);
    if (peers.empty()) {
        co_return;
    }
    for (const auto &address : peers) {
        pullFrom(address);
    }
    co_await pause(internal::peerReplyTime);
}

core::Milliseconds DocumentSync::startDelay()
{
    const std::lock_guard lock(mutex_);
    return std::chrono::duration_cast<core::Milliseconds>(settings_.maxStartDelay * random_.uniform());
}

void DocumentSync::refresh(std::function<void()> done)
{
    const auto work = [this, done = std::move(done)]() -> asio::awaitable<void> {
        co_await readServicesAndPeers();
        done();
    };
    asio::co_spawn(asio::make_strand(context_), work, asio::detached);
}

asio::awaitable<bool> DocumentSync::readService(std::string name, core::Milliseconds maxWait)
{
    const bool isVmList = name == internal::vmListName;
    http::ClientRequest request;
    request.address = isVmList ? settings_.vmList : settings_.configurationService;
    request.target = "/v1/values/" + name + "?after=" + std::to_string(store_.revision(name)) + "&wait_ms=" + std::to_string(maxWait.count());
    request.timeout = maxWait + internal::serviceTimeout;
    ++counts_.serviceCalls;
    try {
        const auto response = co_await http::fetch(request);
        const auto status = response.head.status;
        if (status != 200 && status != 204) {
            throw http::ClientError("unexpected HTTP status " + std::to_string(status), true);
        }
        counts_.documentBytes += response.body.size();
        if (status == 200) {
            const auto revision = std::stoull(response.head.header("x-revision"));
            const auto previousStates = store_.states();
            std::string errors;
            const auto result = store_.offer(name, revision, response.body, errors);
            if (result == config::OfferResult::Refused) {
                ++counts_.refused;
                telemetry::logEvent("document_refused", name + " revision " + std::to_string(revision) + ": " + errors);
                co_await pause(internal::errorBackoff);
            }
            if (result == config::OfferResult::Accepted) {
                ++counts_.accepted;
                onChange_();
                pushChanges(previousStates);
            }
        }
        recordServiceContact(core::Milliseconds(0));
        co_return true;
    } catch (const std::exception &error) {
        ++counts_.serviceErrors;
        telemetry::logEvent("service_unreachable", name + ": " + error.what());
    }
    co_return false;
}

asio::awaitable<void> DocumentSync::watchDocument(std::string name)
{
    while (!stopped_) {
        const auto table = store_.table();
        const bool isServiceWatcher = member::isWatcher(table->vms(), settings_.vm, settings_.zone, watchLimits_);
        if (isServiceWatcher) {
            if (!co_await readService(name, internal::maxWatchWait)) {
                co_await pause(internal::errorBackoff);
            }
            continue;
        }
        if (timeSinceServiceContact() < watchLimits_.updateTimeout) {
            co_await pause(settings_.antiEntropyPeriod);
            continue;
        }
        co_await readService(name, core::Milliseconds(0));
        co_await pause(member::fallbackPollInterval(table->vms().size(), documentNames().size(), watchLimits_));
    }
}

asio::awaitable<void> DocumentSync::runAntiEntropy()
{
    while (!stopped_) {
        co_await pause(settings_.antiEntropyPeriod);
        for (const auto &address : randomPeers(1)) {
            pullFrom(address);
        }
    }
}

std::vector<std::string> DocumentSync::randomPeers(std::size_t count)
{
    const auto table = store_.table();
    std::vector<std::string> others;
    for (const auto &[name, vm] : table->vms()) {
        if (name != settings_.vm) {
            others.push_back(vm.address);
        }
    }
    if (others.empty()) {
        others = settings_.seedPeers;
    }
    const std::lock_guard lock(mutex_);
    std::vector<std::string> chosen;
    while (chosen.size() < count && !others.empty()) {
        const auto index = random_.index(others.size());
        chosen.push_back(others[index]);
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return chosen;
}

wire::DocumentPull DocumentSync::makePull() const
{
    wire::DocumentPull pull;
    const auto timeSinceContact = timeSinceServiceContact();
    for (auto &state : store_.states()) {
        state.set_service_age_ms(timeSinceContact.count());
        *pull.add_have() = std::move(state);
    }
    return pull;
}

void DocumentSync::pullFrom(const std::string &address)
{
    ++counts_.pulls;
    wire::StreamCallbacks callbacks;
    callbacks.onMessage = [this](const std::string &message) {
        counts_.documentBytes += message.size();
        wire::DocumentPush push;
        if (push.ParseFromString(message)) {
            applyDeltas(push);
        }
    };
    callbacks.onEnd = [](const wire::StreamEnd &) {};
    auto message = makePull().SerializeAsString();
    counts_.documentBytes += message.size();
    peers_.submit(address, "/documents", std::move(message), std::move(callbacks));
}

std::string DocumentSync::handlePull(const std::string &message)
{
    wire::DocumentPull pull;
    wire::DocumentPush push;
    if (pull.ParseFromString(message)) {
        const std::vector<wire::DocumentState> have(pull.have().begin(), pull.have().end());
        for (auto &delta : store_.deltasFor(have)) {
            *push.add_deltas() = std::move(delta);
        }
        adoptPeerServiceContact(pull.have());
    }
    const auto ownState = makePull();
    push.mutable_have()->CopyFrom(ownState.have());
    counts_.documentBytes += message.size() + push.ByteSizeLong();
    return push.SerializeAsString();
}

std::string DocumentSync::handlePush(const std::string &message)
{
    wire::DocumentPush push;
    counts_.documentBytes += message.size();
    if (push.ParseFromString(message)) {
        applyDeltas(push);
    }
    return makePull().SerializeAsString();
}

bool DocumentSync::applyDeltas(const wire::DocumentPush &push)
{
    const auto previousStates = store_.states();
    bool accepted = false;
    for (const auto &delta : push.deltas()) {
        const auto result = store_.offer(delta);
        accepted = accepted || result == config::OfferResult::Accepted;
        if (result == config::OfferResult::Refused) {
            ++counts_.refused;
        }
    }
    if (accepted) {
        ++counts_.accepted;
        onChange_();
        pushChanges(previousStates);
    }
    adoptPeerServiceContact(push.have());
    return accepted;
}

void DocumentSync::pushChanges(const std::vector<wire::DocumentState> &previousStates)
{
    wire::DocumentPush push;
    for (auto &delta : store_.deltasFor(previousStates)) {
        *push.add_deltas() = std::move(delta);
    }
    const auto ownState = makePull();
    push.mutable_have()->CopyFrom(ownState.have());
    const auto message = push.SerializeAsString();
    for (const auto &address : randomPeers(internal::pushFanOut)) {
        ++counts_.pushes;
        counts_.documentBytes += message.size();
        wire::StreamCallbacks callbacks;
        callbacks.onMessage = [this](const std::string &reply) {
            counts_.documentBytes += reply.size();
        };
        callbacks.onEnd = [](const wire::StreamEnd &) {};
        peers_.submit(address, "/push", message, std::move(callbacks));
    }
}

void DocumentSync::adoptPeerServiceContact(const google::protobuf::RepeatedPtrField<wire::DocumentState> &have)
{
    for (const auto &state : have) {
        if (state.revision() > store_.revision(state.name())) {
            return;
        }
    }
    if (!have.empty()) {
        recordServiceContact(core::Milliseconds(have.begin()->service_age_ms()));
    }
}

void DocumentSync::recordServiceContact(core::Milliseconds timeSince)
{
    const auto age = std::clamp(timeSince, core::Milliseconds(0), internal::maxContactAge);
    const std::lock_guard lock(mutex_);
    lastServiceContact_ = std::max(lastServiceContact_, std::chrono::steady_clock::now() - age);
}

core::Milliseconds DocumentSync::timeSinceServiceContact() const
{
    const std::lock_guard lock(mutex_);
    return std::chrono::duration_cast<core::Milliseconds>(std::chrono::steady_clock::now() - lastServiceContact_);
}

} // namespace cyclamenspool::node
