#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/scheduling/promptrate.h>

using namespace cyclamenspool;
using namespace std::chrono_literals;
using gateway::scheduling::PromptRate;

namespace {

/** @brief Time that an engine takes with 36 ms and 60 tokens per ms. */
core::MonotonicTime::duration waitOf(int tokens)
{
    return 36ms + std::chrono::microseconds(tokens * 1000 / 60);
}

/** @brief Adds prompts of different sizes with nothing ahead. @param slowness Multiple of the usual time. */
void addPrompts(PromptRate &rate, int count, int slowness = 1)
{
    for (int i = 0; i < count; ++i) {
        const int tokens = i % 5 * 2500;
        rate.add(tokens, 0, waitOf(tokens) * slowness);
    }
}

} // namespace

TEST_CASE("the rate and the fixed time are found from prompts of different sizes", "[gateway][scheduling]")
{
    PromptRate rate;
    addPrompts(rate, 20);
    REQUIRE(rate.isKnown());
    CHECK(rate.tokensPerMs() == Approx(60).epsilon(0.02));
    CHECK(rate.expected(30000).count() == Approx(536).margin(10));
    CHECK(rate.processingTime(6000).count() == Approx(100).margin(3));
}

TEST_CASE("short prompts say nothing of the rate, and neither do those behind others", "[gateway][scheduling]")
{
    PromptRate rate;
    for (int i = 0; i < 100; ++i) {
        rate.add(300, 0, 41ms);
        rate.add(4000, 20000, 2s);
    }
    CHECK_FALSE(rate.isKnown());
    CHECK(rate.expected(100000) == 0ms);
}

TEST_CASE("a slower engine is noticed within the latest requests", "[gateway][scheduling]")
{
    PromptRate rate;
    addPrompts(rate, 100);
    addPrompts(rate, 400, 3);
    CHECK(rate.tokensPerMs() == Approx(20).epsilon(0.1));
}
