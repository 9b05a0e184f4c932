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

class PairwiseEstimator final : public MeanEstimator
{
public:
    explicit PairwiseEstimator(const EstimatorPeriods &periods)
        : periods_(periods)
    {
    }

    void setLoad(double load, double weight, core::Now now) override
    {
        enterEpoch(epochOf(now), now);
        loadAverage_ += load - own_.load;
        weightAverage_ += weight - own_.weight;
        own_ = {load, weight};
    }

    wire::Exchange startExchange(core::Now now) override
    {
        enterEpoch(epochOf(now), now);
        pendingSequence_ = ++sequence_;
        pendingSince_ = now.monotonic;
        sentLoad_ = loadAverage_;
        sentWeight_ = weightAverage_;
        return message(sequence_);
    }

    wire::Exchange answer(const wire::Exchange &request, core::Now now) override
    {
        enterEpoch(std::max(epochOf(now), request.epoch()), now);
        auto reply = message(request.sequence());
        const bool pending = pendingSequence_ != 0 && now.monotonic - pendingSince_ < periods_.replyTimeout;
        if (pending || request.epoch() != epoch_) {
            reply.set_busy(true);
            return reply;
        }
        loadAverage_ = (loadAverage_ + request.load_average()) / 2;
        weightAverage_ = (weightAverage_ + request.weight_average()) / 2;
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
        loadAverage_ += (reply.load_average() - sentLoad_) / 2;
        weightAverage_ += (reply.weight_average() - sentWeight_) / 2;
        noteMeeting(now);
    }

    std::optional<double> estimate(core::Now now) const override
    {
        const bool current = meetings_ >= settledMeetings;
        const bool hasPrevious = previous_ && now.monotonic - previousAt_ <= periods_.stale;
        const bool fresh = now.monotonic - lastMeeting_ <= periods_.stale;
        if (current && fresh) {
            return ratio();
        }
        return hasPrevious ? previous_ : std::nullopt;
    }

private:
    static constexpr int settledMeetings = 6; /* meetings in an epoch until its average is used */

    [[nodiscard]] std::uint64_t epochOf(core::Now now) const
    {
        return static_cast<std::uint64_t>(now.wall.time_since_epoch() / periods_.epoch);
    }

    [[nodiscard]] double ratio() const
    {
        return std::max(0.0, loadAverage_) / std::max(weightAverage_, smallestWeight);
    }

    void enterEpoch(std::uint64_t epoch, core::Now now)
    {
        if (epoch <= epoch_) {
            return;
        }
        if (meetings_ >= settledMeetings) {
            previous_ = ratio();
            previousAt_ = now.monotonic;
        }
        epoch_ = epoch;
        meetings_ = 0;
        pendingSequence_ = 0;
        loadAverage_ = own_.load;
        weightAverage_ = own_.weight;
    }

    void noteMeeting(core::Now now)
    {
        ++meetings_;
        lastMeeting_ = now.monotonic;
    }

    [[nodiscard]] wire::Exchange message(std::uint64_t sequence) const
    {
        auto message = own_.message();
        message.set_epoch(epoch_);
        message.set_sequence(sequence);
        message.set_load_average(loadAverage_);
        message.set_weight_average(weightAverage_);
        return message;
    }

    EstimatorPeriods periods_;
    OwnLoad own_;
    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t pendingSequence_ = 0;
    core::MonotonicTime pendingSince_{};
    double sentLoad_ = 0.0;
    double sentWeight_ = 1.0;
    double loadAverage_ = 0.0;
    double weightAverage_ = 1.0;
    int meetings_ = 0;
    core::MonotonicTime lastMeeting_{};
    std::optional<double> previous_;
    core::MonotonicTime previousAt_{};
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
