#pragma once

#include <cyclamenspool/http/client.h>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenspool::harness {

/** @brief An HTTP request that a test sends with a blocking call. */
struct HttpRequest {
    std::string address;
    std::string method = "GET";
    std::string target = "/";
    std::vector<std::pair<std::string, std::string>> headers{};
    std::string body{};
    std::chrono::milliseconds timeout{20000};
    std::function<void(std::chrono::steady_clock::time_point)> onFirstByte{}; /**< Called once, when the first bytes of the body arrive. */
};

/** @brief Response to a request. */
struct HttpResponse {
    int status = 0; /**< 0: no response. */
    std::map<std::string, std::string> headers; /**< By name, in lower case. */
    std::string body;
    bool isComplete = false; /**< True if the body was received to its end. */

    /** @brief Returns a header's value; empty if missing. @param name Name in lower case. */
    [[nodiscard]] std::string header(const std::string &name) const;
};

/** @brief Converts a request to the type of the HTTP client. */
[[nodiscard]] http::ClientRequest toClientRequest(const HttpRequest &request);

/** @brief Sends a request and waits for the end of its response, at most for its timeout; returns what was received. */
[[nodiscard]] HttpResponse sendRequest(const HttpRequest &request);

/** @brief Sends raw bytes and returns what is received until the peer closes the connection or the timeout expires. @param address IP address and port.
 * @param bytes Bytes to send. @param halfClose True to shut down the sending side after them. @param timeout Time limit. */
[[nodiscard]] std::string exchangeRaw(const std::string &address, const std::string &bytes, bool halfClose, std::chrono::milliseconds timeout);

} // namespace cyclamenspool::harness
