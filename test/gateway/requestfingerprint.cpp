#include <catch2/catch.hpp>

#include <cyclamenspool/gateway/requestfingerprint.h>

#include <set>
#include <string>

using namespace cyclamenspool;
using gateway::fingerprintOf;

TEST_CASE("requests that differ in any field, or in where a text ends, have different fingerprints", "[gateway][quarantine]")
{
    const std::string longBody(100000, 'x');
    const std::set<std::uint64_t> fingerprints{
        fingerprintOf({"GET", "a.example", "/x", "key", ""}),
        fingerprintOf({"POST", "a.example", "/x", "key", ""}),
        fingerprintOf({"GET", "b.example", "/x", "key", ""}),
        fingerprintOf({"GET", "a.example", "/x?y=1", "key", ""}),
        fingerprintOf({"GET", "a.example", "/x", "key2", ""}),
        fingerprintOf({"GET", "a.example", "/x", "key", "{}"}),
        fingerprintOf({"GET", "a.example", "/x", "", "key"}),
        fingerprintOf({"GET", "a.example", "/xk", "ey", ""}),
        fingerprintOf({"GET", "a.example", "/x", "key", longBody}),
        fingerprintOf({"GET", "a.example", "/x", "key", longBody + "y"}),
    };
    CHECK(fingerprints.size() == 10);
    CHECK(fingerprintOf({"GET", "a.example", "/x", "key", longBody}) == fingerprintOf({"GET", "a.example", "/x", "key", std::string(longBody)}));
}
