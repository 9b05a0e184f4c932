#include <catch2/catch.hpp>

#include <cyclamenspool/platform/storeera.h>

#include <string>

using namespace cyclamenspool;

namespace {

boost::beast::http::fields headerWith(const std::string &era)
{
    boost::beast::http::fields header;
    header.insert("Store-Era", era);
    return header;
}

} // namespace

// Guards against a store without restores, whose responses name no era, that a gateway cannot read.
TEST_CASE("a response without an era is of era 0", "[platform][era]")
{
    CHECK(platform::readStoreEra({}) == 0);
    CHECK(platform::readStoreEra(headerWith("0")) == 0);
    CHECK(platform::readStoreEra(headerWith("7")) == 7);
    CHECK(platform::readStoreEra(headerWith("18446744073709551615")) == 18446744073709551615ULL);
}

// Guards against a malformed era that counts as era 0, or as a later one that no store ever reaches.
TEST_CASE("a malformed era makes the call fail", "[platform][era]")
{
    const auto text = GENERATE(as<std::string>(), "", "-1", "+1", "1.5", "0x2", "two", "3 4", "18446744073709551616");
    CAPTURE(text);
    CHECK_THROWS_WITH(platform::readStoreEra(headerWith(text)), Catch::Contains("malformed era"));
}

// Guards against an intermediary's second field that hides the store's.
TEST_CASE("a response with two eras makes the call fail", "[platform][era]")
{
    auto header = headerWith("2");
    header.insert("Store-Era", "3");
    CHECK_THROWS_WITH(platform::readStoreEra(header), Catch::Contains("malformed era"));
}
