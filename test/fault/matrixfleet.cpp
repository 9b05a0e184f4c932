#include "matrixfleet.h"

namespace cyclamenspool::fault {

namespace {

constexpr core::Milliseconds settleTime{60000};
constexpr core::Milliseconds requestTimeout{20000};

} // namespace

std::string matrixTable(const TableParts &parts)
{
    std::string text = "workspaces:\n  - {name: desk}\n  - {name: small, requests_per_second: 4}\n";
    text += "pools:\n  - {name: notes, kind: model, model: lamp, " + parts.poolFields + "}\n";
    text += "  - {name: bookings, kind: service, non_idempotent: [POST], max_tokens: 1000, cold_tokens: 1000}\n";
    text += "groups:\n  - {name: engines, pool: notes, checks_fencing: " + std::string(parts.checksFencing ? "true" : "false") + "}\n";
    text += "  - {name: bookings, pool: bookings, servers: [" + parts.bookingServers + "]}\n";
    if (!parts.leavingRows.empty()) {
        text += "leaving:\n" + parts.leavingRows;
    }
    return text;
}

std::string matrixVms(const std::string &missing)
{
    std::string text = "vms:\n";
    const auto add = [&](const std::string &name, const std::string &zone, const std::string &fields) {
        if (name != missing) {
            text += "  - {name: " + name + ", zone: " + zone + ", address: " + name + ", " + fields + "}\n";
        }
    };
    add("router-0", "az-a", "role: router");
    add("router-1", "az-b", "role: router");
    const char *zones[] = {"az-a", "az-b", "az-c"};
    for (int i = 0; i < 3; ++i) {
        const auto number = std::to_string(i);
        add("vm-engine-" + number, zones[i], "role: agent, group: engines, server: engine-" + number);
        add("vm-booking-" + number, zones[i], "role: agent, group: bookings, server: booking-" + number);
    }
    return text;
}

MatrixFleet::MatrixFleet(const std::string &model, const TableParts &parts)
{
    fake::FakeFleet::Options options;
    options.tableYaml = matrixTable(parts);
    options.vmsYaml = matrixVms();
    options.makeBackend = [record = runRecord, model](const std::string &server) {
        const bool isEngine = server.rfind("engine", 0) == 0;
        return std::make_unique<RecordingBackend>(server, record, isEngine ? model : "");
    };
    fleet = std::make_unique<fake::FakeFleet>(std::move(options));
    fleet->run(settleTime);
}

router::CallerRequest makeRequest(RequestKind kind, const std::string &id, const std::string &key)
{
    router::CallerRequest request;
    request.id = id;
    request.workspace = "desk";
    request.timeout = requestTimeout;
    request.method = "POST";
    request.body = "{}";
    if (kind == RequestKind::Chat) {
        request.pool = "notes";
        request.path = "/v1/chat/completions";
        request.chat = "chat-1";
        request.promptTokens = 100;
        request.decodeTokens = 50;
        return request;
    }
    request.pool = "bookings";
    request.path = "/slots";
    request.idempotencyKey = kind == RequestKind::CallerKey ? key : "";
    return request;
}

} // namespace cyclamenspool::fault
