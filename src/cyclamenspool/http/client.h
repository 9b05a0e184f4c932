#pragma once

#include <cyclamenspool/http/server.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>

namespace cyclamenspool::http {

/** @brief Request of a client. */
struct ClientRequest {
    std::string address; /**< IP number and port. */
    std::string method = "GET";
    std::string target = "/";
    Headers headers;
    std::string body;
    std::chrono::milliseconds timeout{5000}; /**< For connecting, and for each wait for bytes. */
};

/** @brief Head of an answer. */
struct ClientHead {
    int status = 0;
    std::map<std::string, std::string> headers; /**< By name in lower case. */

    /** @brief Returns a header. @param name Name in lower case. @return Value; empty if missing. */
    [[nodiscard]] std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
};

/** @brief Whole answer. */
struct ClientResponse {
    ClientHead head;
    std::string body;
};

/** @brief What a caller wants to hear of a streamed answer. */
struct ClientEvents {
    std::function<bool()> beforeSend; /**< Asked immediately before the first byte is written; false stops the request. */
    std::function<void(const ClientHead &)> onHead;
    std::function<void(const std::string &)> onData;
};

/** @brief Failure of a client's request. */
class ClientError : public std::runtime_error
{
public:
    /** @brief Creates a failure. @param reason Cause. @param sent False only if no byte can have reached the server. */
    ClientError(const std::string &reason, bool sent)
        : std::runtime_error(reason)
        , sent_(sent)
    {
    }

    /** @brief Tells whether bytes can have reached the server. @return False only if none can. */
    [[nodiscard]] bool sent() const noexcept
    {
        return sent_;
    }

private:
    bool sent_;
};

/** @brief Runs a request on a connection of its own. @param request Request. @param events Events. @return Completion of the whole answer. @throws ClientError
 * If it is cut. */
[[nodiscard]] boost::asio::awaitable<void> stream(ClientRequest request, ClientEvents events);

/** @brief Runs a request and collects the answer. @param request Request. @return Whole answer. @throws ClientError If it is cut. */
[[nodiscard]] boost::asio::awaitable<ClientResponse> fetch(ClientRequest request);

} // namespace cyclamenspool::http
