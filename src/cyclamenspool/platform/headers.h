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

/** @brief Part of a prompt that may be cached. */
struct PromptPart {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/** @brief What a caller's request says beside its body. */
struct RequestHead {
    std::string id;
    std::string host; /**< Lower case, without a port. */
    std::string apiKey; /**< Empty: none. */
    std::string model;
    std::optional<std::chrono::milliseconds> callerTime; /**< Time that the caller waits. */
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0; /**< At most. */
    std::vector<PromptPart> parts;
    std::string lastEvent; /**< Of a stream that the caller resumes. */
};

/** @brief What the system adds to a request for a backend server. */
struct ForwardHead {
    std::string server; /**< Id of the backend server that may run it. */
    std::string workspace; /**< Empty: none. */
    std::chrono::milliseconds timeLeft{0};
    std::optional<int> urgency; /**< 0 to 9, 0 first. */
    std::string lastEvent; /**< Goes before the caller's. */
    std::string historySource; /**< Address from which the prompt's cache is fetched first; empty: none. */
};

/** @brief Load as a backend server tells it. */
struct ReportedLoad {
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/** @brief What a backend server's answer says beside its body. */
struct AnswerHead {
    std::string requestId;
    bool sealed = false; /**< It bears the backend server's digest. */
    bool notRun = false; /**< The backend server says that it did not run the request. */
    bool encoded = false; /**< The body is not the backend server's own bytes. */
    std::optional<ReportedLoad> load;
    std::optional<std::chrono::seconds> idleTimeout; /**< The backend server closes an idle connection after this. */
};

/** @brief Reads a caller's headers. @param fields Headers. @return Their meaning. @throws core::Error BadRequest with the header's name. */
[[nodiscard]] RequestHead readRequestHead(const Fields &fields);

/** @brief Reads the headers of an answer. @param status Status. @param fields Headers. @return Their meaning. */
[[nodiscard]] AnswerHead readAnswerHead(unsigned status, const Fields &fields);

/** @brief Appends the header lines of a request for a backend server. @param out Takes the lines. @param fields Caller's headers. @param head What is added. */
void appendForwarded(std::string &out, const Fields &fields, const ForwardHead &head);

/** @brief Appends the header lines of an answer for a caller, without framing. @param out Takes the lines. @param fields Backend server's headers. */
void appendAnswered(std::string &out, const Fields &fields);

/** @brief Appends the header lines of the system's own refusal. @param out Takes the lines. @param requestId Request. @param retryAfter Zero: none. */
void appendRefusal(std::string &out, std::string_view requestId, std::chrono::milliseconds retryAfter);

/** @brief Path on which the balancer asks whether the process is ready. */
inline constexpr std::string_view readyPath = "/-/ready";

/** @brief Environment variable that names the settings file. */
inline constexpr const char *settingsVariable = "CYCLAMENSPOOL_CONFIG";

} // namespace cyclamenspool::platform
