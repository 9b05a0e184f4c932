#pragma once

#include <cyclamenspool/core/errorkind.h>

#include <boost/beast/http/fields.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenspool::platform {

using Fields = boost::beast::http::fields;

/** @brief Part of a prompt, as the caller declares it; an engine may have its result in the prompt cache. */
struct PromptPart {
    std::uint64_t id = 0; /**< Hash of the part, as sent by the caller. */
    std::uint32_t tokens = 0; /**< Length of the part. */
};

/** @brief Decoded headers of a caller's request. */
struct RequestHead {
    std::string id; /**< Request id, as sent by the caller; empty: none. */
    std::string host; /**< Lower case, without a port. */
    std::string apiKey; /**< Empty: none. */
    std::string model;
    std::optional<std::chrono::milliseconds> callerTimeout; /**< Longest time that the caller waits for the response. */
    std::uint32_t promptTokens = 0;
    std::uint32_t maxResponseTokens = 0; /**< Upper limit; 0: not given. */
    std::vector<PromptPart> parts; /**< Parts of the whole prompt, in order. */
    std::string lastEventId; /**< Last event that the caller received of a stream that it resumes; empty: none. */
};

/** @brief Headers that the gateway adds to a request for a backend server. */
struct AddedHeaders {
    std::string serverId; /**< Id of the only backend server that may run the request. */
    std::string workspace; /**< Empty: none. */
    std::chrono::milliseconds remainingTime{0}; /**< Until the deadline. */
    std::optional<int> urgency; /**< 0 to 9, 0 is the most urgent. */
    std::string lastEventId; /**< Replaces the caller's; empty: the caller's is forwarded. */
    std::string historySource; /**< Address of the backend server from whose prompt cache the history is fetched before the run; empty: none. */
};

/** @brief Load that a backend server reports in a response header, in requests. */
struct ReportedLoad {
    int running = 0;
    int waiting = 0;
    int slots = 0; /**< Requests that can run at once. */
    std::optional<int> pacePercent; /**< Time that work takes at this moment in percent of the usual; empty: not reported. */
};

/** @brief What a backend server says of itself in a response. */
struct ServerStatement {
    bool isLeaving = false; /**< It shuts down. */
    bool isLimitMalformed = false; /**< The response names a limit that is no number of at least zero. */
    std::optional<double> limit; /**< Requests per second that it takes from all gateways together; empty: it names none. */
    std::optional<std::chrono::milliseconds> retryAfter; /**< Time for which it wants no further request of this gateway; only with status 503. */
};

/** @brief Decoded headers of a backend server's response. */
struct ResponseHead {
    std::string requestId;
    bool hasDigest = false; /**< The response has the digest header, which a backend server adds to its own responses; its value is not checked here. */
    bool isNotExecuted = false; /**< The backend server reports that it did not run the request. */
    bool isEventStream = false; /**< The body is a stream of server-sent events, or its type is not given. */
    bool isEncoded = false; /**< The body has a content encoding, so it is not the bytes that the backend server wrote. */
    bool isContradictory = false; /**< The request id or the digest is given more than once, with different values. */
    std::optional<ReportedLoad> load; /**< Empty: absent or malformed. */
    bool isLoadMalformed = false; /**< The response has a load header that is not three or four numbers of at least zero. */
    ServerStatement statement;
    std::optional<std::chrono::seconds> idleTimeout; /**< Time after which the backend server closes an idle connection; empty: not given. */
};

/** @brief Returns the request id in a caller's headers, as the caller sent it; empty: none. */
[[nodiscard]] std::string readRequestId(const Fields &fields);

/** @brief Decodes a caller's headers. @throws core::Error BadRequest, with the name of the malformed header. */
[[nodiscard]] RequestHead readRequestHead(const Fields &fields);

/** @brief Decodes the headers of a backend server's response. Malformed optional headers are ignored. @param status HTTP status; 421 counts as not run. */
[[nodiscard]] ResponseHead readResponseHead(unsigned status, const Fields &fields);

/**
 * @brief Appends the header lines of a request for a backend server.
 *
 * Leaves out hop-by-hop headers and those that only the system may set.
 * @param out Receives the lines.
 * @param fields Caller's headers.
 * @param added Headers to add.
 */
void appendForwardedHeaders(std::string &out, const Fields &fields, const AddedHeaders &added);

/**
 * @brief Appends the header lines of a response for a caller, without hop-by-hop and framing headers.
 * @param out Receives the lines.
 * @param fields Backend server's headers.
 */
void appendResponseHeaders(std::string &out, const Fields &fields);

/**
 * @brief Appends the header lines of a refusal by the gateway itself.
 * @param out Receives the lines.
 * @param requestId Request id; empty: no header.
 * @param retryAfter Time for the Retry-After header, which has seconds with three decimals; zero: no header.
 */
void appendRefusalHeaders(std::string &out, std::string_view requestId, std::chrono::milliseconds retryAfter);

/** @brief Path of the load balancer's readiness probe. */
inline constexpr std::string_view readyPath = "/-/ready";

/** @brief Environment variable that holds the path of the settings file. */
inline constexpr const char *settingsFileVariable = "CYCLAMENSPOOL_CONFIG";

} // namespace cyclamenspool::platform
