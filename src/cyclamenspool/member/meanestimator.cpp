#include <cyclamenspool/member/meanestimator.h>

#include <algorithm>

namespace cyclamenspool::member {

namespace internal {

constexpr double minWeight = 1e-9; /* avoids a division by zero */

/** @brief Load and weight of this member. */
struct LocalLoad {
    double load = 0.0;
    double weight = 1.0;

    [[nodiscard]] wire::Exchange message() const
    {
        wire::Exchange message;
        message.set_load(load);
        message.set_weight(weight);
        return message;
    }
};

/** @brief Running averages of load and weight within one epoch. */
struct EpochAverage {
    double load = 0.0;
    double weight = 1.0;
    int exchanges = 0;

    void add(double loadChange, double weightChange)
    {
        load += loadChange;
        weight += weightChange;
    }

    void averageWith(double peerLoad, double peerWeight)
    {
        add((peerLoad - load) / 2, (peerWeight - weight) / 2);
        ++exchanges;
    }

    [[nodiscard]] double loadPerWeight() const
    {
        return std::max(0.0, load) / std::max(weight, minWeight);
    }
};

/** @brief Pairwise averaging in overlapping epochs: the average of the older epoch is used while the newer one converges. */
class PairwiseEstimator final : public MeanEstimator
{
public:
    explicit PairwiseEstimator(const EstimatorParameters &parameters)
        : parameters_(parameters)
    {
    }

    void setLoad(double load, double weight, core::Now now) override
    {
        enterEpoch(epochOf(now));
        newer_.add(load - local_.load, weight - local_.weight);
        older_.add(load - local_.load, weight - local_.weight);
        local_ = {load, weight};
    }

    wire::Exchange startExchange(core::Now now) override
    {
        enterEpoch(epochOf(now));
        pendingSequence_ = ++sequence_;
        pendingSince_ = now.monotonic;
        sentNewer_ = newer_;
        sentOlder_ = older_;
        return message(sequence_);
    }

    wire::Exchange answer(const wire::Exchange &request, core::Now now) override
    {
        // The peer's clock may be a little ahead; an epoch further away is malformed and would end all averaging if it were adopted.
        const auto ownEpoch = epochOf(now);
        enterEpoch(std::clamp(request.epoch(), ownEpoch, ownEpoch + 1));
        auto reply = message(request.sequence());
        const bool isAwaitingReply = pendingSequence_ != 0 && now.monotonic - pendingSince_ < parameters_.replyTimeout;
        if (isAwaitingReply || request.epoch() != epoch_) {
            reply.set_busy(true);
            return reply;
        }
        newer_.averageWith(request.load_average(), request.weight_average());
        older_.averageWith(request.older_load_average(), request.older_weight_average());
        recordExchange(now);
        return reply;
    }

    void finishExchange(const wire::Exchange &reply, core::Now now) override
    {
        const bool isExpected = reply.sequence() == pendingSequence_ && pendingSequence_ != 0;
        if (!isExpected) {
            return;
        }
        pendingSequence_ = 0;
        if (reply.busy() || reply.epoch() != epoch_) {
            return;
        }
        applyReply(newer_, sentNewer_, reply.load_average(), reply.weight_average());
        applyReply(older_, sentOlder_, reply.older_load_average(), reply.older_weight_average());
        recordExchange(now);
    }

    std::optional<double> estimate(core::Now now) const override
    {
        return now.monotonic - lastExchange_ > parameters_.maxAge ? std::nullopt : smoothed_;
    }

private:
    static constexpr int minExchanges = 4; /* exchanges in an epoch before its average is used */

    [[nodiscard]] std::uint64_t epochOf(core::Now now) const
    {
        return static_cast<std::uint64_t>(now.wall.time_since_epoch() / parameters_.epochLength);
    }

    /** @brief Adds half the difference between the peer's average and the average sent to it, as the local load may have changed since then. */
    static void applyReply(EpochAverage &average, const EpochAverage &sent, double peerLoad, double peerWeight)
    {
        average.add((peerLoad - sent.load) / 2, (peerWeight - sent.weight) / 2);
        ++average.exchanges;
    }

    /** @brief Updates the smoothed estimate from the older epoch, or from the newer one if only that has at least minExchanges exchanges. */
    void recordExchange(core::Now now)
    {
        lastExchange_ = now.monotonic;
        const auto &converged = older_.exchanges >= minExchanges ? older_ : newer_;
        if (converged.exchanges >= minExchanges) {
            const double previous = smoothed_.value_or(converged.loadPerWeight());
            smoothed_ = previous + parameters_.smoothing * (converged.loadPerWeight() - previous);
        }
    }

    void enterEpoch(std::uint64_t epoch)
    {
        if (epoch <= epoch_) {
            return;
        }
        const EpochAverage fresh{local_.load, local_.weight, 0};
        older_ = epoch == epoch_ + 1 ? newer_ : fresh;
        newer_ = fresh;
        epoch_ = epoch;
        pendingSequence_ = 0;
    }

    [[nodiscard]] wire::Exchange message(std::uint64_t sequence) const
    {
        auto message = local_.message();
        message.set_epoch(epoch_);
        message.set_sequence(sequence);
        message.set_load_average(newer_.load);
        message.set_weight_average(newer_.weight);
        message.set_older_load_average(older_.load);
        message.set_older_weight_average(older_.weight);
        return message;
    }

    EstimatorParameters parameters_;
    LocalLoad local_;
    EpochAverage newer_;
    EpochAverage older_;
    EpochAverage sentNewer_;
    EpochAverage sentOlder_;
    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t pendingSequence_ = 0;
    core::MonotonicTime pendingSince_{};
    core::MonotonicTime lastExchange_{};
    std::optional<double> smoothed_;
};

/** @brief Mean of the local load and the loads of the most recent exchanges. */
class SamplingEstimator final : public MeanEstimator
{
public:
    explicit SamplingEstimator(const EstimatorParameters &parameters)
        : parameters_(parameters)
    {
    }

    void setLoad(double load, double weight, core::Now now) override
    {
        static_cast<void>(now);
        local_ = {load, weight};
    }

    wire::Exchange startExchange(core::Now now) override
    {
        static_cast<void>(now);
        auto message = local_.message();
        message.set_sequence(++sequence_);
        return message;
    }

    wire::Exchange answer(const wire::Exchange &request, core::Now now) override
    {
        addSample(request, now);
        auto message = local_.message();
        message.set_sequence(request.sequence());
        return message;
    }

    void finishExchange(const wire::Exchange &reply, core::Now now) override
    {
        addSample(reply, now);
    }

    std::optional<double> estimate(core::Now now) const override
    {
        double load = local_.load;
        double weight = local_.weight;
        std::size_t count = 0;
        for (const auto &sample : samples_) {
            if (now.monotonic - sample.at <= parameters_.maxAge) {
                load += sample.load;
                weight += sample.weight;
                ++count;
            }
        }
        if (count == 0) {
            return std::nullopt;
        }
        return load / std::max(weight, minWeight);
    }

private:
    struct Sample {
        core::MonotonicTime at;
        double load;
        double weight;
    };

    void addSample(const wire::Exchange &message, core::Now now)
    {
        samples_.push_back({now.monotonic, message.load(), message.weight()});
        if (samples_.size() > parameters_.maxSamples) {
            samples_.pop_front();
        }
    }

    EstimatorParameters parameters_;
    LocalLoad local_;
    std::uint64_t sequence_ = 0;
    std::deque<Sample> samples_;
};

} // namespace internal

std::unique_ptr<MeanEstimator> makePairwiseEstimator(const EstimatorParameters &parameters)
{
    return std::make_unique<internal::PairwiseEstimator>(parameters);
}

std::unique_ptr<MeanEstimator> makeSamplingEstimator(const EstimatorParameters &parameters)
{
    return std::make_unique<internal::SamplingEstimator>(parameters);
}

} // namespace cyclamenspool::member
