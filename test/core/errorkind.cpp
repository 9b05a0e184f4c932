#include <catch2/catch.hpp>

#include <cyclamenspool/core/errorkind.h>

#include <set>
#include <string>

using namespace cyclamenspool::core;

TEST_CASE("every error kind has a rule with a unique name, an HTTP error status and a message", "[core]")
{
    std::set<std::string> names;
    for (int i = 0; i < static_cast<int>(ErrorKind::Count); ++i) {
        const auto &rule = ruleOf(static_cast<ErrorKind>(i));
        CHECK(static_cast<int>(rule.kind) == i);
        CHECK(names.insert(std::string(rule.name)).second);
        CHECK(rule.status >= 400);
        CHECK(rule.status < 600);
        CHECK_FALSE(rule.message.empty());
    }
}

TEST_CASE("an error kind with a retry delay guarantees that the request was not run", "[core]")
{
    for (int i = 0; i < static_cast<int>(ErrorKind::Count); ++i) {
        const auto &rule = ruleOf(static_cast<ErrorKind>(i));
        if (rule.retryAfter.count() > 0) {
            CHECK(rule.runState == RunState::NotRun);
        }
    }
}

TEST_CASE("an error kind outside the enumeration is handled as an internal error", "[core]")
{
    CHECK(ruleOf(static_cast<ErrorKind>(1000)).kind == ErrorKind::Internal);
    CHECK(ruleOf(static_cast<ErrorKind>(-1)).kind == ErrorKind::Internal);
}
