#include <catch2/catch.hpp>

#include <cyclamenspool/config/diagnostic.h>
#include <cyclamenspool/config/settings.h>

using namespace cyclamenspool::config;

namespace {

const std::string validSettings = "vm: vm-1\nzone: az-a\npeer_address: 127.0.0.1:7001\nhttp_address: 127.0.0.1:7002\n"
                                  "configuration_service: 127.0.0.1:7003\nvm_list: 127.0.0.1:7004\n";

std::string errorsOf(const std::string &text)
{
    try {
        static_cast<void>(Settings::parse(text, "s.yaml"));
    } catch (const InvalidInput &error) {
        return error.what();
    }
    return "";
}

} // namespace

TEST_CASE("complete settings are parsed into their fields", "[config]")
{
    const auto settings = Settings::parse(validSettings + "workers: 4\nview_lease_ms: 1500\n", "s.yaml");
    CHECK(settings.vm == "vm-1");
    CHECK(settings.workers == 4);
    CHECK(settings.viewLease == std::chrono::milliseconds(1500));
}

TEST_CASE("an error in the settings is reported with file, line and column", "[config]")
{
    CHECK(errorsOf(validSettings + "wrokers: 4\n") == "s.yaml:7:1: unknown key 'wrokers'\n");
    CHECK(errorsOf(validSettings + "workers: many\n") == "s.yaml:7:10: 'workers' must be a whole number\n");
    CHECK(errorsOf(validSettings + "workers: 0\n").find("s.yaml:7:10: 'workers' must be between") == 0);
    CHECK(errorsOf("vm: vm-1\n").find("missing key 'zone'") != std::string::npos);
    CHECK(errorsOf(validSettings + "backend_address: localhost:1\n").find("s.yaml:7:18: 'backend_address' must start with an IP address") == 0);
    CHECK(errorsOf(validSettings + "backend_address: 127.0.0.1:99999\n").find("has no valid port") != std::string::npos);
    CHECK(errorsOf("vm: [\n").find("s.yaml:") == 0);
    CHECK(errorsOf("- a\n- b\n").find("must be a mapping") != std::string::npos);
}

TEST_CASE("all errors in the settings are reported together", "[config]")
{
    const auto errors = errorsOf(validSettings + "workers: 0\nnonsense: 1\n");
    CHECK(std::count(errors.begin(), errors.end(), '\n') == 2);
}

TEST_CASE("an address is an IP address and a port; words of hexadecimal digits are none", "[config]")
{
    for (const std::string address : {"cafe:80", "dead.beef:80", "1.2.3:80", "1.2.3.4.5:80", "300.1.1.1:80", "[::1:80", ":80", "10.0.0.1:", "10.0.0.1:70000"}) {
        CAPTURE(address);
        CHECK_THROWS_AS(splitAddress(address), std::invalid_argument);
    }
    CHECK(splitAddress("10.0.0.1:80") == std::pair<std::string, unsigned short>("10.0.0.1", 80));
    CHECK(splitAddress("[::1]:80") == std::pair<std::string, unsigned short>("::1", 80));
}
