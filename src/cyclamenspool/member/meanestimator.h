#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/wire/generated/messages.pb.h>

#include <deque>
#include <memory>
#include <optional>

namespace cyclamenspool::member {

/**
 * @brief Estimates the mean load of a pool, in outstanding tokens per unit of weight, by gossip with one peer at a time.
 *
 * The owner sends the message of startExchange() to a peer of its choice and passes the reply, if any, to finishExchange().
 */
class MeanEstimator
{
public:
    virtual ~MeanEstimator() = default;

    /** @brief Sets the load of this member. @param load Outstanding tokens. @param weight Relative capacity of this member. */
    virtual void setLoad(double load, double weight, core::Now now) = 0;

    /** @brief Starts an exchange. @return Request for the peer. */
    [[nodiscard]] virtual wire::Exchange startExchange(core::Now now) = 0;

    /**
     * @brief Handles the request of a peer.
     * @return Reply; with pairwise averaging it is marked busy, and this member's averages stay, if an exchange of its own is pending or
     * the epochs differ.
     */
    [[nodiscard]] virtual wire::Exchange answer(const wire::Exchange &request, core::Now now) = 0;

    /** @brief Applies the reply of the peer; pairwise averaging ignores one that is not for the latest exchange. */
    virtual void finishExchange(const wire::Exchange &reply, core::Now now) = 0;

    /** @brief Returns the estimated mean. @return Tokens per unit of weight; none before the first estimate or when it is stale. */
    [[nodiscard]] virtual std::optional<double> estimate(core::Now now) const = 0;
};

/** @brief Parameters of the estimators. */
struct EstimatorParameters {
    core::Milliseconds epochLength{2000}; /**< Interval after which pairwise averaging restarts from the current loads. */
    core::Milliseconds maxAge{5000}; /**< Age beyond which an estimate or a sample is not used. */
    core::Milliseconds replyTimeout{1000}; /**< Time for which an unanswered exchange is pending; meanwhile peers get a busy reply. */
    std::size_t maxSamples = 16; /**< Number of recent peer loads that the sampling estimator keeps. */
    double smoothing = 0.25; /**< Weight of each new average in the exponentially smoothed estimate of pairwise averaging, 0 to 1. */
};

/**
 * @brief Creates an estimator that uses pairwise gossip averaging.
 *
 * In an exchange both peers replace their running averages by the mean of the two. This conserves the sum over the pool, and
 * every average converges exponentially to the pool's mean (Cetintemel and Keleher, "Light-Weight Currency Management Mechanisms
 * in Deno", sections 3.2 to 3.4). A change of the local load is added to the running average immediately. A crashed peer or a
 * lost reply breaks the conservation; each epoch restarts from the current loads, so that the error does not last. The average
 * of the previous epoch is kept up to date and used until the new one has converged.
 */
[[nodiscard]] std::unique_ptr<MeanEstimator> makePairwiseEstimator(const EstimatorParameters &parameters);

/** @brief Creates an estimator that averages the local load and the loads received in the most recent exchanges. */
[[nodiscard]] std::unique_ptr<MeanEstimator> makeSamplingEstimator(const EstimatorParameters &parameters);

} // namespace cyclamenspool::member
