#pragma once

#include <cyclamenspool/http/client.h>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenspool::harness {

/** @brief A blocking HTTP request of a test. */
struct Call {
    std::string address;
    std::string method = "GET";
    std::string target = "/";
    std::vector<std::pair<std::string, std::string>> headers{};
    std::string body{};
    std::chrono::milliseconds timeout{20000};
    std::function<void(std::chrono::steady_clock::time_point)> onFirstByte{};
};

/** @brief What came back. */
struct Answer {
    int status = 0; /**< 0: no answer. */
    std::map<std::string, std::string> headers; /**< By name in lower case. */
    std::string body;
    bool whole = false; /**< The body ended in order. */

    /** @brief Returns a header. @param name Name in lower case. @return Value; empty if missing. */
    [[nodiscard]] std::string header(const std::string &name) const;
};

/** @brief Converts a call to a request of the HTTP client. @param call Call. @return Request. */
[[nodiscard]] http::ClientRequest clientRequest(const Call &call);

/** @brief Runs a request. @param call Request. @return Answer. */
[[nodiscard]] Answer run(const Call &call);

/** @brief Sends bytes as they are and reads until the peer closes or the timeout. @param address Address. @param bytes Bytes. @param halfClose True to shut the
 * sending side down afterwards. @param timeout Longest wait. @return Bytes received. */
[[nodiscard]] std::string exchangeRaw(const std::string &address, const std::string &bytes, bool halfClose, std::chrono::milliseconds timeout);

} // namespace cyclamenspool::harness
