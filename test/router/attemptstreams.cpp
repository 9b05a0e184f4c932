#include <catch2/catch.hpp>

#include <cyclamenspool/router/attemptstreams.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>

using cyclamenspool::router::AttemptStreams;

TEST_CASE("an attempt that ends while its stream is being opened leaves nothing behind", "[router]")
{
    AttemptStreams<int> streams;
    streams.announce(1);
    CHECK(streams.remove(1) == nullptr); /* its end is reported before the call that opens the stream returns */
    CHECK_FALSE(streams.store(1, std::make_shared<int>(7)));
    CHECK(streams.size() == 0);
}

TEST_CASE("an open attempt's stream is given out once, for its cancellation or at its end", "[router]")
{
    AttemptStreams<int> streams;
    streams.announce(1);
    REQUIRE(streams.store(1, std::make_shared<int>(7)));
    const auto stream = streams.remove(1);
    REQUIRE(stream != nullptr);
    CHECK(*stream == 7);
    CHECK(streams.remove(1) == nullptr);
    CHECK(streams.size() == 0);
}

TEST_CASE("of the opening and the end of an attempt on two threads exactly one gets the stream", "[router]")
{
    AttemptStreams<int> streams;
    for (std::uint64_t attempt = 0; attempt < 2000; ++attempt) {
        streams.announce(attempt);
        std::atomic<int> given{0};
        std::thread end([&] {
            given += streams.remove(attempt) != nullptr ? 1 : 0;
        });
        given += streams.store(attempt, std::make_shared<int>(1)) ? 0 : 1;
        end.join();
        CHECK(given == 1);
    }
    CHECK(streams.size() == 0);
}
