#pragma once

#include <cyclamenspool/core/now.h>
#include <cyclamenspool/wire/generated/messages.pb.h>

#include <deque>
#include <memory>
#include <optional>

namespace cyclamenspool::member {

/**
 * @brief Estimates the mean load of a pool, in outstanding tokens per unit of weight, from exchanges with one peer at a time.
 *
 * The caller sends the message of startExchange to a peer of its choice and feeds back the reply, if one comes.
 */
class MeanEstimator
{
public:
    virtual ~MeanEstimator() = default;

    /** @brief Sets the own load. @param load Outstanding tokens. @param weight Weight. @param now Time. */
    virtual void setLoad(double load, double weight, core::Now now) = 0;

    /** @brief Starts an exchange. @param now Time. @return Message for the peer. */
    [[nodiscard]] virtual wire::Exchange startExchange(core::Now now) = 0;

    /** @brief Answers a peer's exchange. @param request Peer's message. @param now Time. @return Reply. */
    [[nodiscard]] virtual wire::Exchange answer(const wire::Exchange &request, core::Now now) = 0;

    /** @brief Ends an exchange. @param reply Peer's reply. @param now Time. */
    virtual void finishExchange(const wire::Exchange &reply, core::Now now) = 0;

    /** @brief Returns the estimate. @param now Time. @return Mean; none before the first estimate or when it is stale. */
    [[nodiscard]] virtual std::optional<double> estimate(core::Now now) const = 0;
};

/** @brief Lengths of the estimators' periods. */
struct EstimatorPeriods {
    core::Milliseconds epoch{2000}; /**< Pairwise averaging starts anew after this time. */
    core::Milliseconds stale{5000}; /**< An estimate older than this is not used. */
    core::Milliseconds replyTimeout{1000}; /**< An exchange without a reply is given up after this time. */
    std::size_t samples = 16; /**< Peers remembered by sampling. */
    double smoothing = 0.25; /**< Part of each meeting's result that enters the estimate of pairwise averaging. */
};

/**
 * @brief Creates an estimator by pairwise averaging.
 *
 * Two peers replace their running averages by the mean of both; the total over the pool is conserved and every average
 * converges exponentially to the pool's mean (Cetintemel and Keleher, "Light-Weight Currency Management Mechanisms in
 * Deno", sections 3.2 to 3.4). A change of the own load is added to the running average at once. Each epoch starts anew
 * from the loads, so that the part lost with a crashed peer or a lost reply does not last; the average of the epoch before is
 * kept up and used until then.
 * @param periods Periods.
 * @return Estimator.
 */
[[nodiscard]] std::unique_ptr<MeanEstimator> makePairwiseEstimator(const EstimatorPeriods &periods);

/** @brief Creates an estimator that averages the loads of the peers met last. @param periods Periods. @return Estimator. */
[[nodiscard]] std::unique_ptr<MeanEstimator> makeSamplingEstimator(const EstimatorPeriods &periods);

} // namespace cyclamenspool::member
