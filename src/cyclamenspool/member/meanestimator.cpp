#include <cyclamenspool/member/meanestimator.h>

#include <algorithm>

namespace cyclamenspool::member {

namespace internal {

constexpr double smallestWeight = 1e-9;

/** @brief Own load and weight, and the fields common to all messages. */
struct OwnLoad {
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

/** @brief Running averages of one epoch. */
struct EpochAverage {
    double load = 0.0;
    double weight = 1.0;
    int meetings = 0;

    void shift(double loadChange, double weightChange)
    {
        load += loadChange;
        weight += weightChange;
    }

    void meet(double otherLoad, double otherWeight)
    {
        shift((otherLoad - load) / 2, (otherWeight - weight) / 2);
        ++meetings;
    }

    [[nodiscard]] double ratio() const
    {
        return std::max(0.0, load) / std::max(weight, smallestWeight);
    }
};

/** @brief Averages of two epochs: the newer one settles while the older one is used. */
class PairwiseEstimator final : public MeanEstimator
{
public:
    explicit PairwiseEstimator(const EstimatorPeriods &periods)
        : periods_(periods)
    {
    }

    void setLoad(double load, double weight, core::Now now) override
    {
        enterEpoch(epochOf(now));
        newer_.shift(load - own_.load, weight - own_.weight);
        older_.shift(load - own_.load, weight - own_.weight);
        own_ = {load, weight};
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
        enterEpoch(std::max(epochOf(now), request.epoch()));
        auto reply = message(request.sequence());
        const bool pending = pendingSequence_ != 0 && now.monotonic - pendingSince_ < periods_.replyTimeout;
        if (pending || request.epoch() != epoch_) {
            reply.set_busy(true);
            return reply;
        }
        newer_.meet(request.load_average(), request.weight_average());
        older_.meet(request.older_load_average(), request.older_weight_average());
        noteMeeting(now);
        return reply;
    }

    void finishExchange(const wire::Exchange &reply, core::Now now) override
    {
        const bool expected = reply.sequence() == pendingSequence_ && pendingSequence_ != 0;
        if (!expected) {
            return;
        }
        pendingSequence_ = 0;
        if (reply.busy() || reply.epoch() != epoch_) {
            return;
        }
        applyReply(newer_, sentNewer_, reply.load_average(), reply.weight_average());
        applyReply(older_, sentOlder_, reply.older_load_average(), reply.older_weight_average());
        noteMeeting(now);
    }

    std::optional<double> estimate(core::Now now) const override
    {
        return now.monotonic - lastMeeting_ > periods_.stale ? std::nullopt : smoothed_;
    }

private:
    static constexpr int settledMeetings = 4; /* meetings in an epoch until its average is used */

    [[nodiscard]] std::uint64_t epochOf(core::Now now) const
    {
        return static_cast<std::uint64_t>(now.wall.time_since_epoch() / periods_.epoch);
    }

    /** @brief Moves by half the difference to the peer; the own load may have changed since the message was sent. */
    static void applyReply(EpochAverage &average, const EpochAverage &sent, double peerLoad, double peerWeight)
    {
        average.shift((peerLoad - sent.load) / 2, (peerWeight - sent.weight) / 2);
        ++average.meetings;
    }

    /** @brief Takes the settled average into the estimate. */
    void noteMeeting(core::Now now)
    {
        lastMeeting_ = now.monotonic;
        const auto &settled = older_.meetings >= settledMeetings ? older_ : newer_;
        if (settled.meetings >= settledMeetings) {
            const double before = smoothed_.value_or(settled.ratio());
            smoothed_ = before + periods_.smoothing * (settled.ratio() - before);
        }
    }

    void enterEpoch(std::uint64_t epoch)
    {
        if (epoch <= epoch_) {
            return;
        }
        const EpochAverage fresh{own_.load, own_.weight, 0};
        older_ = epoch == epoch_ + 1 ? newer_ : fresh;
        newer_ = fresh;
        epoch_ = epoch;
        pendingSequence_ = 0;
    }

    [[nodiscard]] wire::Exchange message(std::uint64_t sequence) const
    {
        auto message = own_.message();
        message.set_epoch(epoch_);
        message.set_sequence(sequence);
        message.set_load_average(newer_.load);
        message.set_weight_average(newer_.weight);
        message.set_older_load_average(older_.load);
        message.set_older_weight_average(older_.weight);
        return message;
    }

    EstimatorPeriods periods_;
    OwnLoad own_;
    EpochAverage newer_;
    EpochAverage older_;
    EpochAverage sentNewer_;
    EpochAverage sentOlder_;
    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t pendingSequence_ = 0;
    core::MonotonicTime pendingSince_{};
    core::MonotonicTime lastMeeting_{};
    std::optional<double> smoothed_;
};

class SamplingEstimator final : public MeanEstimator
{
public:
    explicit SamplingEstimator(const EstimatorPeriods &periods)
        : periods_(periods)
    {
    }

    void setLoad(double load, double weight, core::Now now) override
    {
        static_cast<void>(now);
        own_ = {load, weight};
    }

    wire::Exchange startExchange(core::Now now) override
    {
        static_cast<void>(now);
        auto message = own_.message();
        message.set_sequence(++sequence_);
        return message;
    }

    wire::Exchange answer(const wire::Exchange &request, core::Now now) override
    {
        remember(request, now);
        auto message = own_.message();
        message.set_sequence(request.sequence());
        return message;
    }

    void finishExchange(const wire::Exchange &reply, core::Now now) override
    {
        remember(reply, now);
    }

    std::optional<double> estimate(core::Now now) const override
    {
        double load = own_.load;
        double weight = own_.weight;
        std::size_t count = 0;
        for (const auto &sample : samples_) {
            if (now.monotonic - sample.at <= periods_.stale) {
                load += sample.load;
                weight += sample.weight;
                ++count;
            }
        }
        if (count == 0) {
            return std::nullopt;
        }
        return load / std::max(weight, smallestWeight);
    }

private:
    struct Sample {
        core::MonotonicTime at;
        double load;
        double weight;
    };

    void remember(const wire::Exchange &message, core::Now now)
    {
        samples_.push_back({now.monotonic, message.load(), message.weight()});
        if (samples_.size() > periods_.samples) {
            samples_.pop_front();
        }
    }

    EstimatorPeriods periods_;
    OwnLoad own_;
    std::uint64_t sequence_ = 0;
    std::deque<Sample> samples_;
};

} // namespace internal

std::unique_ptr<MeanEstimator> makePairwiseEstimator(const EstimatorPeriods &periods)
{
    return std::make_unique<internal::PairwiseEstimator>(periods);
}

std::unique_ptr<MeanEstimator> makeSamplingEstimator(const EstimatorPeriods &periods)
{
    return std::make_unique<internal::SamplingEstimator>(periods);
}

} // namespace cyclamenspool::member
