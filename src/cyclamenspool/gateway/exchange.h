#pragma once

#include <cyclamenspool/core/errorkind.h>
#include <cyclamenspool/core/now.h>
#include <cyclamenspool/gateway/backendcall.h>
#include <cyclamenspool/gateway/callersession.h>
#include <cyclamenspool/gateway/dispatcher.h>
#include <cyclamenspool/gateway/eventscanner.h>
#include <cyclamenspool/gateway/serverpresence.h>
#include <cyclamenspool/platform/headers.h>

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenspool::gateway {

/**
 * @brief Handles one request of a caller: admits it, forwards it to a backend server, retries it if allowed and relays the response.
 *
 * A request that may have run is retried only if its route allows it. All calls on the worker's thread.
 */
class Exchange : public BackendCallHandler, public std::enable_shared_from_this<Exchange>
{
public:
    /**
     * @brief Creates an exchange.
     * @param worker Worker that owns the connection.
     * @param session Caller's connection; not used after the response has ended or after onCallerDisconnected().
     * @param request Complete request.
     * @param bodyMemory Memory of its body.
     * @param arrivedAt Arrival of the request's first byte; the deadline counts from here.
     */
    Exchange(Worker &worker, CallerSession &session, CallerRequest request, BodyMemory::Reservation bodyMemory, core::MonotonicTime arrivedAt);
    ~Exchange() override;
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    /** @brief Admits the request and sends it to a backend server, or refuses it. While the gateway starts, it is held first, see StartQueue. */
    void start();

    /** @brief Ends the request because the process is about to exit: refuses it, or cuts off a response that has started. */
    void onShutdown();

    /** @brief Cancels the backend call after the caller's connection has closed. */
    void onCallerDisconnected();

    /** @brief Resumes reading from the backend server after all pending bytes were written to the caller. */
    void onCallerWritesDrained();

    bool isStillWanted() override;
    void onConnectFailed(const std::string &reason) override;
    void onResponseHeaders(unsigned status, const platform::Fields &fields, const platform::ResponseHead &head) override;
    bool onResponseBody(std::string bytes) override;
    void onResponseComplete() override;
    void onResponseError(const std::string &reason) override;

private:
    /** @brief How the response body is relayed to the caller. */
    enum class RelayMode : int {
        Buffered, /**< Collected, then written with a Content-Length, unless the backend server gave neither a length nor chunks. */
        Streamed, /**< Written as it arrives. */
        EventStream, /**< Written in complete events, so that another backend server can continue the stream. */
    };

    [[nodiscard]] bool isHeldAtStart();
    void admit();
    bool endIfCallerLeft(); /* true if the exchange has ended, as its caller has left */
    void armDeadlineTimer();
    void tryNextServer();
    void hold(PlacementResult placement);
    void onHoldEnded();
    void endHold();
    [[nodiscard]] PlacementResult placeOrHold();
    void readmit();
    void startAttempt(PlacementResult placement);
    void sendRequest(const world::BackendServer &server);
    void retryOrFail(core::ErrorKind kind, const std::string &reason, bool isRetryAllowed);
    void finishAttempt(Outcome outcome);
    void releaseBodyIfUnneeded();
    void recordServerLoss();
    void recordAnswer();
    bool askForRest(); /* at another backend server, after an end that proves nothing; false if none can be asked */
    void checkPresence(bool isRestKnown);
    void onPresence(bool isPresent);
    void completeResponse();
    void relay(const std::string &bytes);
    void finishStream();
    void sendBuffered();
    void refuse(core::ErrorKind kind, const std::string &detail);
    void abortResponse(core::ErrorKind kind, const std::string &detail);
    void onDeadline();
    void endNow(core::ErrorKind kindIfUnsent, core::ErrorKind kindIfSent, const std::string &detail);
    void armStallTimer();
    void checkStall();
    void finish(std::string_view requestOutcome, const std::string &detail);
    void recordMetrics(bool isAnswered);
    void log(std::string_view requestOutcome, const std::string &detail) const;
    static constexpr std::string_view answeredOutcome = "answered"; /* logged for a complete response; unlike Outcome::Answered, whatever its status */

    [[nodiscard]] bool isInsideEvent() const noexcept; /* the bytes received so far end with an incomplete event */
    [[nodiscard]] const char *streamIncompleteReason() const noexcept; /* of a stream whose body has ended; null if it is complete */
    [[nodiscard]] bool isStalled() const;
    [[nodiscard]] bool isWithoutProgress() const;
    [[nodiscard]] std::chrono::milliseconds remainingTime() const;
    [[nodiscard]] std::chrono::milliseconds callerRemainingTime() const;
    [[nodiscard]] std::chrono::milliseconds callerWait() const;
    [[nodiscard]] std::chrono::milliseconds maxIdleTime() const;
    [[nodiscard]] bool isRelayStarted() const noexcept
    {
        return isHeadWritten_;
    }
    [[nodiscard]] bool isRelayChunked() const noexcept
    {
        return request_.version() >= 11 && !isUnframed_;
    }

    Worker &worker_;
    CallerSession *session_; /* null once the response has ended or the caller has disconnected */
    CallerRequest request_; /* without its body */
    RequestBodyPtr body_; /* null once the request cannot be sent again */
    core::MonotonicTime arrivedAt_;
    core::MonotonicTime deadline_{};
    platform::RequestHead requestHead_;
    std::unique_ptr<StartQueue::Place> startPlace_; /* null: the request was not held */
    std::optional<Admission> admission_;
    boost::asio::steady_timer deadlineTimer_;
    boost::asio::steady_timer stallTimer_;
    boost::asio::steady_timer holdTimer_;
    std::shared_ptr<BackendCall> call_;
    std::unique_ptr<InFlightRequest> inFlight_;
    std::unique_ptr<HeldRequest> held_; /* while the request waits at this gateway; no attempt is in progress then */
    std::vector<std::string> triedServers_; /* ids of the backend servers that were chosen for this request */
    std::string historySource_; /* as in PlacementResult, of the last placement */
    std::string estimatedServer_; /* as in PlacementResult, of the last placement */
    std::optional<scheduling::FirstEventEstimate> estimate_; /* as in PlacementResult, of the last placement */
    const char *placementReason_ = ""; /* of the last placement, for the log */
    int sentAttempts_ = 0; /* attempts that count against the route's limit; a failed connect does not */
    core::Milliseconds availableIn_{0}; /* as in PlacementResult, of the last placement */
    bool mayHaveRun_ = false; /* an ended attempt may have run the request */
    unsigned responseStatus_ = 0;
    std::string responseHead_; /* status line and headers for the caller, without framing */
    std::string responseBody_;
    RelayMode relayMode_ = RelayMode::Buffered;
    bool isEventStream_ = false; /* the response is a stream of server-sent events */
    EventScanner eventScanner_{std::string()};
    EventBoundary relayedBoundary_; /* of the bytes that were relayed; only if RelayMode::Streamed */
    BodyEnd bodyEnd_ = BodyEnd::None; /* of the last response */
    bool isUnframed_ = false; /* the response began without a length or chunks, and ends with the caller's connection too */
    bool isEndPending_ = false; /* a stream's connection had ended, and its rest is asked for; nothing of it has come */
    std::string endedAddress_; /* of the backend server whose end is pending */
    std::shared_ptr<ServerPresence> presence_;
    bool isHeadWritten_ = false; /* to the caller */
    bool isAnswerRecorded_ = false; /* of the current attempt, by recordAnswer() */
    bool isReadingPaused_ = false;
    core::MonotonicTime headersReceivedAt_{};
    core::MonotonicTime lastSentAt_{};
    core::MonotonicTime firstBodyAt_{}; /* of the current attempt */
    core::MonotonicTime lastBodyAt_{};
    core::MonotonicTime lastEventAt_{}; /* end of the last complete event; only if RelayMode::EventStream */
    core::MonotonicTime::duration maxBodyGap_{}; /* between two reads of the response body */
};

} // namespace cyclamenspool::gateway
