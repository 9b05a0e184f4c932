#include <catch2/catch.hpp>

#include <cyclamenspool/platform/storepage.h>

#include <string>

using namespace cyclamenspool;

namespace {

std::string pageOf(const std::string &items)
{
    return R"({"store_revision":9,"more_pages":true,"items":[)" + items + "]}";
}

const std::string readable = R"({"key":"servers/a","value":"YQ==","revision":3,"create_revision":3,"lease":0})";
const std::string withoutKey = R"({"value":"YQ==","revision":4})";

} // namespace

TEST_CASE("a last item without a key does not keep the listing from ending: the next page begins after the last readable item", "[platform]")
{
    int malformed = 0;
    const auto count = [&malformed](const std::string &, const std::string &) {
        ++malformed;
    };
    const auto page = platform::readListPage(pageOf(readable + "," + withoutKey), 0, count);
    CHECK(page.hasMore);
    CHECK(page.lastKey == "servers/a");
    CHECK(malformed == 1);
}

TEST_CASE("a page without a readable item that announces more pages is an error", "[platform]")
{
    const auto ignore = [](const std::string &, const std::string &) {};
    CHECK_THROWS_WITH(platform::readListPage(pageOf(withoutKey), 0, ignore), Catch::Contains("no readable item"));
}
