#pragma once

#include <cyclamenspool/http/server.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace cyclamenspool::http {

/** @brief An HTTP request to send. */
struct ClientRequest {
    std::string address; /**< IP address and port of the server; also sent as Host. */
    std::string method = "GET";
    std::string target = "/";
    Headers headers;
    std::string body;
    std::chrono::milliseconds timeout{5000}; /**< Limit for connecting, for sending the request, and for each read of the response; fetch() allows the whole
                                               body no more. */
    std::size_t maxBodyBytes = 16UL * 1024 * 1024; /**< Of a response that fetch() returns. */
    bool acceptsUnframed = false; /**< Takes a response without a length or chunks, whose body the end of the connection ends. */
};

/** @brief Status and headers of a response. */
struct ClientResponseHead {
    int status = 0;
    std::map<std::string, std::string> headers; /**< Keys are header names in lower case. */

    /**
     * @brief Returns the value of a header.
     * @param name Header name in lower case.
     * @return Value; empty if the header is missing.
     */
    [[nodiscard]] std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
};

/** @brief A complete response. */
struct ClientResponse {
    ClientResponseHead head;
    std::string body;
};

/** @brief Callbacks for the stages of a streamed request; each may be empty. */
struct ClientCallbacks {
    std::function<bool()> beforeSend; /**< Called once connected, just before the request is written; returning false cancels it. */
    std::function<void(const ClientResponseHead &)> onResponseHead; /**< Called once, when status and headers have been received. */
    std::function<void(const std::string &)> onResponseData; /**< Called for each received part of the body, without chunk framing. */
};

/** @brief Thrown when a request fails before its response is complete. */
class ClientError : public std::runtime_error
{
public:
    /**
     * @brief Creates an error.
     * @param reason Error message.
     * @param mayHaveBeenSent False only if no byte of the request can have reached the server.
     */
    ClientError(const std::string &reason, bool mayHaveBeenSent)
        : std::runtime_error(reason)
        , mayHaveBeenSent_(mayHaveBeenSent)
    {
    }

    /** @brief Returns false only if no byte of the request can have reached the server, so that the server cannot have run it. */
    [[nodiscard]] bool mayHaveBeenSent() const noexcept
    {
        return mayHaveBeenSent_;
    }

private:
    bool mayHaveBeenSent_;
};

/**
 * @brief Sends a request on a new connection and reports the response as it arrives.
 *
 * Completes when the response is complete. Any status counts as success; interim (1xx) responses are skipped.
 *
 * @param request Request to send.
 * @param callbacks Called as the request proceeds; an exception thrown by one ends the request and is passed on.
 * @throws ClientError The connection failed, timed out or closed early, the request was cancelled, or the response has no length.
 */
[[nodiscard]] boost::asio::awaitable<void> streamResponse(ClientRequest request, ClientCallbacks callbacks);

/**
 * @brief Sends a request on a new connection and returns the complete response.
 * @param request Request to send.
 * @return Response, whatever its status.
 * @throws ClientError The connection failed, timed out or closed early, the response has no length, or its body is larger or takes longer than the request
 * allows.
 */
[[nodiscard]] boost::asio::awaitable<ClientResponse> fetch(ClientRequest request);

} // namespace cyclamenspool::http
