#include <cyclamenspool/gateway/operatorpage.h>

#include <cyclamenspool/telemetry/label.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <sys/resource.h>

#include <sstream>

namespace cyclamenspool::gateway {

namespace internal {

using Seconds = std::chrono::duration<double>;

constexpr std::array<Catalog::Section, 2> sections{Catalog::Section::OperatorConfig, Catalog::Section::Servers};

/** @brief Formats the label set of a metric that has a single label. */
std::string singleLabel(const char *name, std::string_view value)
{
    std::string text = "{";
    text += telemetry::label(name, value);
    return text + "}";
}

void writeProcess(std::ostream &out)
{
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) != 0) {
        return;
    }
    const auto secondsOf = [](const timeval &time) {
        return Seconds(std::chrono::seconds(time.tv_sec)) + std::chrono::microseconds(time.tv_usec);
    };
    constexpr long bytesPerKibibyte = 1024;
    out << "process_cpu_seconds_total " << (secondsOf(usage.ru_utime) + secondsOf(usage.ru_stime)).count() << '\n';
    out << "cyclamenspool_peak_memory_bytes " << usage.ru_maxrss * bytesPerKibibyte << '\n';
}

void writeBodies(std::ostream &out, const BodyMemory &memory)
{
    out << "cyclamenspool_request_body_bytes " << memory.reservedBytes() << '\n';
}

void writeCounts(std::ostream &out, const DispatchCounts &counts)
{
    out << "cyclamenspool_admitted_total " << counts.placed << '\n';
    out << "cyclamenspool_malformed_load_reports_total " << counts.malformedLoads << '\n';
    out << "cyclamenspool_repeats_total " << counts.retries << '\n';
    out << "cyclamenspool_callers_gone_total " << counts.callersGone << '\n';
    for (std::size_t outcome = 0; outcome < counts.outcomes.size(); ++outcome) {
        out << "cyclamenspool_outcomes_total" << singleLabel("outcome", nameOf(static_cast<Outcome>(outcome))) << ' ' << counts.outcomes[outcome] << '\n';
    }
    for (std::size_t kind = 0; kind < counts.refusals.size(); ++kind) {
        const auto name = core::ruleOf(static_cast<core::ErrorKind>(kind)).name;
        out << "cyclamenspool_refusals_total" << singleLabel("kind", name) << ' ' << counts.refusals[kind] << '\n';
    }
}

void writeQueues(std::ostream &out, const Dispatcher &dispatcher)
{
    const auto counts = dispatcher.holdCounts();
    out << "cyclamenspool_waiting_room_total" << singleLabel("verdict", "held") << ' ' << counts.held << '\n';
    out << "cyclamenspool_waiting_room_total" << singleLabel("verdict", "sent") << ' ' << counts.sent << '\n';
    out << "cyclamenspool_waiting_room_total" << singleLabel("verdict", "rejected") << ' ' << counts.rejected << '\n';
    counts.waits.write(out, "cyclamenspool_waiting_room_seconds", "");
    for (const auto &queue : dispatcher.queues()) {
        const auto labels = singleLabel("service", queue.service);
        out << "cyclamenspool_waiting_requests" << labels << ' ' << queue.waiting << '\n';
        if (queue.limit) {
            out << "cyclamenspool_concurrency_limit" << labels << ' ' << *queue.limit << '\n';
        }
    }
}

void writeFirstEvents(std::ostream &out, const FirstEventView &view)
{
    out << "# TYPE cyclamenspool_first_event_expected_seconds histogram\n";
    view.expected.write(out, "cyclamenspool_first_event_expected_seconds", "");
    out << "# TYPE cyclamenspool_first_event_seconds histogram\n";
    view.actual.write(out, "cyclamenspool_first_event_seconds", "");
    for (const auto &[service, pending] : view.pending) {
        out << "cyclamenspool_pending_prompt_tokens" << singleLabel("service", service) << ' ' << pending.tokens << '\n';
        out << "cyclamenspool_pending_prompts" << singleLabel("service", service) << ' ' << pending.requests << '\n';
    }
}

void writeQuarantine(std::ostream &out, const QuarantineView &view)
{
    out << "cyclamenspool_prompt_parts" << singleLabel("state", "suspected") << ' ' << view.suspects << '\n';
    out << "cyclamenspool_prompt_parts" << singleLabel("state", "quarantined") << ' ' << view.quarantined.size() << '\n';
}

boost::json::array quarantineArray(const QuarantineView &view)
{
    boost::json::array parts;
    for (const auto &part : view.quarantined) {
        parts.push_back(boost::json::object{{"part", part.part}, {"remaining_ms", part.remaining.count()}});
    }
    return parts;
}

void writeServers(std::ostream &out, const std::vector<ServerView> &servers)
{
    std::array<std::size_t, static_cast<std::size_t>(Availability::Count)> serverCounts{};
    for (const auto &server : servers) {
        ++serverCounts[static_cast<std::size_t>(server.availability)];
        const auto labels = singleLabel("server", server.entry.id);
        out << "cyclamenspool_server_answered_total" << labels << ' ' << server.answered << '\n';
        out << "cyclamenspool_server_failed_total" << labels << ' ' << server.failed << '\n';
        out << "cyclamenspool_server_outstanding" << labels << ' ' << server.outstanding << '\n';
        if (server.statedLimit) {
            out << "cyclamenspool_server_stated_limit" << labels << ' ' << *server.statedLimit << '\n';
        }
    }
    for (std::size_t i = 0; i < serverCounts.size(); ++i) {
        out << "cyclamenspool_servers" << singleLabel("standing", nameOf(static_cast<Availability>(i))) << ' ' << serverCounts[i] << '\n';
    }
}

boost::json::object serverObject(const ServerView &server)
{
    boost::json::object object;
    object["server"] = server.entry.id;
    object["service"] = server.entry.service;
    object["address"] = server.entry.address;
    object["zone"] = server.entry.zone;
    object["standing"] = nameOf(server.availability);
    object["revision"] = server.entry.revision;
    object["report_age_ms"] = server.reportAge.count();
    object["outstanding"] = server.outstanding;
    object["outstanding_everywhere"] = server.load;
    object["failures_in_row"] = server.consecutiveFailures;
    object["failure_ratio"] = server.failureRatio;
    object["says_leaving"] = server.saysLeaving;
    object["limit_per_s"] = server.statedLimit ? boost::json::value(*server.statedLimit) : boost::json::value(nullptr);
    object["answered"] = server.answered;
    object["failed"] = server.failed;
    return object;
}

boost::json::object storeObject(const Catalog &catalog, Catalog::Section section)
{
    boost::json::object object;
    object["revision"] = catalog.position(section).revision;
    object["era"] = catalog.position(section).era;
    object["age_ms"] = catalog.position(section).isEmpty() ? boost::json::value(nullptr) : boost::json::value(catalog.age(section).count());
    object["answers"] = !catalog.isStoreUnavailable(section);
    return object;
}

} // namespace internal

std::string formatMetrics(const OperatorPageInput &input)
{
    std::ostringstream out;
    out << "cyclamenspool_ready " << (input.isReady ? 1 : 0) << '\n';
    out << "cyclamenspool_peers " << input.peers.livePeerCount() << '\n';
    const auto routes = input.dispatcher.routes();
    out << "cyclamenspool_routing_version " << (routes == nullptr ? 0 : routes->routing().version) << '\n';
    for (const auto section : internal::sections) {
        const auto labels = internal::singleLabel("section", Catalog::prefixOf(section));
        out << "cyclamenspool_store_revision" << labels << ' ' << input.catalog.position(section).revision << '\n';
        out << "cyclamenspool_store_era" << labels << ' ' << input.catalog.position(section).era << '\n';
        out << "cyclamenspool_store_answers" << labels << ' ' << (input.catalog.isStoreUnavailable(section) ? 0 : 1) << '\n';
        if (!input.catalog.position(section).isEmpty()) {
            out << "cyclamenspool_store_age_seconds" << labels << ' ' << internal::Seconds(input.catalog.age(section)).count() << '\n';
        }
    }
    internal::writeProcess(out);
    internal::writeCounts(out, input.dispatcher.counts());
    internal::writeBodies(out, input.dispatcher.bodyMemory());
    internal::writeQueues(out, input.dispatcher);
    internal::writeFirstEvents(out, input.dispatcher.firstEvents());
    internal::writeQuarantine(out, input.dispatcher.quarantine());
    internal::writeServers(out, input.dispatcher.servers());
    input.dispatcher.meter().write(out);
    return out.str();
}

std::string formatStatus(const OperatorPageInput &input)
{
    boost::json::object status;
    status["ready"] = input.isReady;
    const auto routes = input.dispatcher.routes();
    status["routing_version"] = routes == nullptr ? 0 : routes->routing().version;
    for (const auto section : internal::sections) {
        status[std::string("store ") + std::string(Catalog::prefixOf(section))] = internal::storeObject(input.catalog, section);
    }
    boost::json::array peers;
    for (const auto &peer : input.peers.statuses()) {
        peers.push_back(boost::json::object{{"vm", peer.vm}, {"address", peer.address}, {"age_ms", peer.age.count()}});
    }
    status["peers"] = std::move(peers);
    status["quarantined_prompt_parts"] = internal::quarantineArray(input.dispatcher.quarantine());
    boost::json::array servers;
    for (const auto &server : input.dispatcher.servers()) {
        servers.push_back(internal::serverObject(server));
    }
    status["backend_servers"] = std::move(servers);
    return boost::json::serialize(status) + "\n";
}

} // namespace cyclamenspool::gateway
