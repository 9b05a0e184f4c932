#include <catch2/catch.hpp>

#include <cyclamenspool/telemetry/histogram.h>

#include <sstream>

using namespace std::chrono_literals;

TEST_CASE("each histogram bucket counts the durations up to its bound", "[telemetry]")
{
    cyclamenspool::telemetry::Histogram histogram;
    for (const auto duration : {1ms, 2ms, 400ms, 60000ms}) {
        histogram.observe(duration);
    }
    std::ostringstream out;
    histogram.write(out, "seconds", "kind=\"once\"");
    const auto text = out.str();
    CHECK(text.find("seconds_bucket{kind=\"once\",le=\"0.001\"} 1\n") != std::string::npos);
    CHECK(text.find("seconds_bucket{kind=\"once\",le=\"0.0025\"} 2\n") != std::string::npos);
    CHECK(text.find("seconds_bucket{kind=\"once\",le=\"0.25\"} 2\n") != std::string::npos);
    CHECK(text.find("seconds_bucket{kind=\"once\",le=\"0.5\"} 3\n") != std::string::npos);
    CHECK(text.find("seconds_bucket{kind=\"once\",le=\"30\"} 3\n") != std::string::npos);
    CHECK(text.find("seconds_bucket{kind=\"once\",le=\"+Inf\"} 4\n") != std::string::npos);
    CHECK(text.find("seconds_sum{kind=\"once\"} 60.403\n") != std::string::npos);
    CHECK(text.find("seconds_count{kind=\"once\"} 4\n") != std::string::npos);
}

TEST_CASE("the quantile of a histogram is the bound of the bucket that holds it", "[telemetry]")
{
    cyclamenspool::telemetry::Histogram histogram;
    CHECK(histogram.quantile(0.95) == 0ns);
    for (int i = 0; i < 95; ++i) {
        histogram.observe(40ms);
    }
    for (int i = 0; i < 5; ++i) {
        histogram.observe(60s);
    }
    CHECK(histogram.quantile(0.95) == 50ms);
    CHECK(histogram.quantile(0.96) == 30s);
}
