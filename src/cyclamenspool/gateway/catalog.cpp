#include <cyclamenspool/gateway/catalog.h>

#include <cyclamenspool/platform/documents.h>
#include <cyclamenspool/telemetry/log.h>

#include <algorithm>

namespace cyclamenspool::gateway {

namespace internal {

constexpr std::array<std::string_view, 2> prefixes{platform::operatorPrefix, platform::serverPrefix};

/** @brief Hands a decoded document to the dispatcher and logs what is believed now. */
class DocumentVisitor
{
public:
    DocumentVisitor(Dispatcher &dispatcher, std::uint64_t revision, const char *source)
        : dispatcher_(dispatcher)
        , revision_(revision)
        , source_(source)
    {
    }

    void operator()(const world::Routing &routing) const
    {
        const bool isNew = dispatcher_.onRouting(routing);
        log("routing", {{"version", routing.version}, {"routes", routing.routes.size()}, {"in_force", isNew}});
    }

    void operator()(const world::BackendServer &server) const
    {
        bool isChange = false;
        dispatcher_.onFleet([&](Fleet &fleet, core::MonotonicTime now) {
            isChange = fleet.onListed(server, now);
        });
        if (isChange) {
            log("backend_server",
                {{"server", server.id},
                 {"service", server.service},
                 {"address", server.address},
                 {"zone", server.zone},
                 {"leaving", server.leaving},
                 {"cold_ms", server.coldRemaining.count()}});
        }
    }

    void operator()(const platform::GoneServer &gone) const
    {
        dispatcher_.onFleet([&gone](Fleet &fleet, core::MonotonicTime now) {
            fleet.onUnlisted(gone.id, now);
        });
        log("backend_server_gone", {{"server", gone.id}});
    }

    void operator()(const platform::ZoneMark &mark) const
    {
        dispatcher_.onFleet([&mark](Fleet &fleet, core::MonotonicTime) {
            fleet.onZone(mark.zone, mark.isLeaving);
        });
        log("zone", {{"zone", mark.zone}, {"leaving", mark.isLeaving}});
    }

    void operator()(const platform::Unused &) const
    {
    }

private:
    void log(const char *event, boost::json::object line) const
    {
        line["revision"] = revision_;
        line["source"] = source_;
        telemetry::logLine(event, std::move(line));
    }

    Dispatcher &dispatcher_;
    std::uint64_t revision_;
    const char *source_;
};

} // namespace internal

Catalog::Catalog(Dispatcher &dispatcher)
    : dispatcher_(dispatcher)
{
}

Catalog::Part &Catalog::part(Section section)
{
    return parts_[static_cast<std::size_t>(section)];
}

const Catalog::Part &Catalog::part(Section section) const
{
    return parts_[static_cast<std::size_t>(section)];
}

std::string_view Catalog::prefixOf(Section section)
{
    return internal::prefixes[static_cast<std::size_t>(section)];
}

std::optional<Catalog::Section> Catalog::sectionOf(std::string_view prefix)
{
    for (std::size_t i = 0; i < internal::prefixes.size(); ++i) {
        if (internal::prefixes[i] == prefix) {
            return static_cast<Section>(i);
        }
    }
    return std::nullopt;
}

void Catalog::onStoreList(Section section, const member::ItemList &list)
{
    apply(part(section).mirror.replace(list), "store");
    onStoreWell(section);
}

void Catalog::onStoreChanges(Section section, const std::vector<member::Item> &changes, std::uint64_t revision)
{
    apply(part(section).mirror.merge(changes, revision), "store");
    onStoreWell(section);
}

void Catalog::onStoreWell(Section section)
{
    auto &known = part(section);
    if (known.isIll) {
        telemetry::logLine("store_regained", {{"section", std::string(prefixOf(section))}, {"revision", known.mirror.revision()}});
    }
    known.isIll = false;
    known.heard = std::chrono::steady_clock::now();
    if (section == Section::Servers) {
        dispatcher_.onFleet([](Fleet &fleet, core::MonotonicTime now) {
            fleet.onStoreWell(now);
        });
    }
    refreshComplete();
}

void Catalog::refreshComplete()
{
    complete_ = std::all_of(parts_.begin(), parts_.end(), [](const Part &each) {
        return each.mirror.revision() > 0;
    });
}

void Catalog::onStoreFailure(Section section, const std::string &reason)
{
    auto &known = part(section);
    telemetry::logLine("store_lost", {{"section", std::string(prefixOf(section))}, {"reason", reason}, {"revision", known.mirror.revision()}});
    known.isIll = true;
    if (section == Section::Servers) {
        dispatcher_.onFleet([](Fleet &fleet, core::MonotonicTime) {
            fleet.onStoreIll();
        });
    }
}

void Catalog::onPeerCopy(Section section, const member::ItemList &list)
{
    apply(part(section).mirror.replace(list), "peer");
    refreshComplete();
}

void Catalog::apply(const std::vector<member::Item> &news, const char *source)
{
    for (const auto &item : news) {
        applyOne(item, source);
    }
}

void Catalog::applyOne(const member::Item &item, const char *source)
{
    try {
        std::visit(internal::DocumentVisitor(dispatcher_, item.revision, source), platform::decode(item));
    } catch (const platform::MalformedValue &error) {
        telemetry::logLine("item_passed_over", {{"key", item.key}, {"revision", item.revision}, {"reason", error.what()}});
    }
}

member::ItemList Catalog::copy(Section section) const
{
    return part(section).mirror.list();
}

std::uint64_t Catalog::revision(Section section) const
{
    return part(section).mirror.revision();
}

core::Milliseconds Catalog::age(Section section) const
{
    return std::chrono::duration_cast<core::Milliseconds>(std::chrono::steady_clock::now() - part(section).heard);
}

bool Catalog::isIll(Section section) const
{
    return part(section).isIll;
}

} // namespace cyclamenspool::gateway
