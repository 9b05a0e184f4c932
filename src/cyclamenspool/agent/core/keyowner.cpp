#include <cyclamenspool/agent/core/keyowner.h>

#include <cyclamenspool/core/errorkind.h>
#include <cyclamenspool/core/hash.h>
#include <cyclamenspool/core/uuid.h>
#include <cyclamenspool/policy/rendezvous.h>

#include <algorithm>

namespace cyclamenspool::agent {

using core::Error;
using core::ErrorKind;

namespace internal {

constexpr std::chrono::milliseconds handOverRequestPeriod{200};

std::string scopedKey(const wire::Submit &request)
{
    return request.workspace() + "/" + request.key();
}

std::uint64_t bodyHash(const wire::Submit &request)
{
    return core::hash64(request.body(), core::hash64(request.method() + " " + request.path()));
}

bool areSameHomes(const std::vector<member::Member> &a, const std::vector<member::Member> &b)
{
    const auto isSame = [](const member::Member &x, const member::Member &y) {
        return x.server == y.server && x.weight == y.weight;
    };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), isSame);
}

std::int64_t unixMillis(core::WallTime time)
{
    return std::chrono::duration_cast<core::Milliseconds>(time.time_since_epoch()).count();
}

core::WallTime fromUnixMillis(std::int64_t millis)
{
    return core::WallTime(core::Milliseconds(millis));
}

} // namespace internal

KeyOwner::KeyOwner(std::string server, std::string pool, const KeyOwnerOptions &options, core::Now now)
    : server_(std::move(server))
    , pool_(std::move(pool))
    , options_(options)
    , register_(options.keys, now.wall)
    , homeSince_(now.wall)
{
}

std::string KeyOwner::homeOf(const std::string &scoped, const Homes &homes) const
{
    const auto ranked = policy::rankByRendezvous(scoped, homes, 1);
    return ranked.empty() ? "" : ranked.front()->server;
}

void KeyOwner::onView(std::shared_ptr<const member::FleetView> view, core::Now now)
{
    const bool wasListed = view_ == nullptr || view_->find(pool_, server_) != nullptr;
    if (!wasListed) {
        resetAfterGap(now);
    }
    const auto &homes = view->keyHomes(pool_);
    const bool first = view_ == nullptr;
    const bool changed = first || !internal::areSameHomes(homes, view_->keyHomes(pool_));
    if (changed) {
        std::set<std::string> others;
        for (const auto &server : view->groupServers(pool_)) {
            others.insert(server);
        }
        if (!first) {
            for (const auto &server : view_->groupServers(pool_)) {
                others.insert(server);
            }
        }
        others.erase(server_);
        const bool sawEveryRevision = !first && view->revision() == view_->revision() + 1;
        const bool isPreviousKnown = sawEveryRevision && pending_.empty();
        previousHomes_ = isPreviousKnown ? std::optional<Homes>(view_->keyHomes(pool_)) : std::nullopt;
        pending_.insert(others.begin(), others.end());
        handedOver_.clear();
        missingSince_.clear();
        lastRequest_ = {};
    }
    view_ = std::move(view);
}

void KeyOwner::resetAfterGap(core::Now now)
{
    homeSince_ = now.wall;
    register_.resetHomeSince(now.wall);
    previousHomes_ = std::nullopt;
    if (view_ == nullptr) {
        return;
    }
    for (const auto &server : view_->groupServers(pool_)) {
        pending_.insert(server);
    }
    pending_.erase(server_);
    handedOver_.clear();
    missingSince_.clear();
}

bool KeyOwner::isHandOverPending(const std::string &scoped) const
{
    if (pending_.empty()) {
        return false;
    }
    return !previousHomes_ || pending_.count(homeOf(scoped, *previousHomes_)) > 0;
}

void KeyOwner::checkHome(const wire::Submit &request, core::Now now) const
{
    static_cast<void>(now);
    if (request.key_from_router()) {
        return;
    }
    if (view_ == nullptr || request.table_revision() > view_->revision()) {
        throw Error(ErrorKind::HomeMoving, "agent of '" + server_ + "' has not applied the router's table revision yet");
    }
    const auto scoped = internal::scopedKey(request);
    const auto home = homeOf(scoped, view_->keyHomes(pool_));
    if (home != server_) {
        throw Error(ErrorKind::WrongHome, "the key's home is '" + home + "', not '" + server_ + "'");
    }
    if (view_->find(pool_, server_) == nullptr) {
        throw Error(ErrorKind::StaleView, "'" + server_ + "' is not in the platform's VM list");
    }
    if (isHandOverPending(scoped)) {
        throw Error(ErrorKind::HomeMoving, "'" + server_ + "' waits for idempotency records from a former home");
    }
}

policy::IdempotencyVerdict KeyOwner::admit(const wire::Submit &request, core::Now now)
{
    register_.expire(now.wall);
    const auto created = core::uuid7Time(request.key());
    return register_.admit(internal::scopedKey(request), created, internal::bodyHash(request), request.key_from_router(), now.wall);
}

const policy::IdempotencyRecord *KeyOwner::find(const wire::Submit &request) const
{
    return register_.find(internal::scopedKey(request));
}

void KeyOwner::finish(const wire::Submit &request, std::optional<policy::StoredResponse> response)
{
    register_.finish(internal::scopedKey(request), std::move(response));
}

void KeyOwner::forgetNotSent(const wire::Submit &request)
{
    register_.removeUnsent(internal::scopedKey(request));
}

void KeyOwner::onTick(core::Now now, Actions &actions)
{
    if (view_ == nullptr || pending_.empty() || now.monotonic - lastRequest_ < internal::handOverRequestPeriod) {
        return;
    }
    lastRequest_ = now.monotonic;
    const auto servers = pending_;
    for (const auto &server : servers) {
        const auto *member = view_->find(pool_, server);
        if (member != nullptr) {
            missingSince_.erase(server);
            SendHandOver request{member->address, server, {}};
            request.message.set_pool(pool_);
            request.message.set_backend_server(server_);
            request.message.set_table_revision(view_->revision());
            actions.emplace_back(std::move(request));
            continue;
        }
        const auto since = missingSince_.try_emplace(server, now.monotonic).first->second;
        if (now.monotonic - since >= options_.takeOverDelay) {
            pending_.erase(server);
            homeSince_ = now.wall;
            register_.resetHomeSince(now.wall);
        }
    }
}

wire::HandOverReply KeyOwner::onHandOverRequest(const wire::HandOverRequest &request) const
{
    wire::HandOverReply reply;
    // At another revision, this agent may itself be the home of keys that the requester considers its own.
    if (view_ == nullptr || request.table_revision() != view_->revision()) {
        return reply;
    }
    reply.set_complete(true);
    reply.set_home_since_unix_ms(internal::unixMillis(homeSince_));
    const auto &homes = view_->keyHomes(pool_);
    const auto moved = register_.exportIf([&](const std::string &scoped) {
        return homeOf(scoped, homes) == request.backend_server();
    });
    for (const auto &record : moved) {
        auto *out = reply.add_records();
        out->set_key(record.key);
        out->set_body_hash(record.requestHash);
        out->set_recorded_unix_ms(internal::unixMillis(record.recorded));
        out->set_finished(record.finished);
        out->set_status(record.hasStoredResponse ? record.response.status : 0);
        out->set_content_type(record.response.contentType);
        out->set_answer(record.response.body);
    }
    for (const auto &server : pending_) {
        if (server != request.backend_server()) {
            reply.add_pending(server);
        }
    }
    return reply;
}

void KeyOwner::onHandOverReply(const std::string &server, const wire::HandOverReply &reply, core::Now now)
{
    static_cast<void>(now);
    if (!reply.complete() || pending_.erase(server) == 0) {
        return;
    }
    for (const auto &in : reply.records()) {
        policy::IdempotencyRecord record;
        record.key = in.key();
        record.requestHash = in.body_hash();
        record.recorded = internal::fromUnixMillis(in.recorded_unix_ms());
        record.finished = in.finished();
        record.hasStoredResponse = in.finished() && in.status() != 0;
        record.response = {in.status(), in.content_type(), in.answer()};
        register_.import(record);
    }
    handedOver_.insert(server);
    for (const auto &former : reply.pending()) {
        if (former != server_ && handedOver_.count(former) == 0) {
            pending_.insert(former);
        }
    }
    const auto formerHomeSince = internal::fromUnixMillis(reply.home_since_unix_ms());
    if (formerHomeSince > homeSince_) {
        homeSince_ = formerHomeSince;
        register_.resetHomeSince(formerHomeSince);
    }
}

} // namespace cyclamenspool::agent
