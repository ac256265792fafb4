/** @file setting_test.cpp Settings files: defaults, and all faults reported at once with their paths. */
#include "settings/setting_func.h"

#include <CppUTest/TestHarness.h>

using namespace lavender;

TEST_GROUP(Setting) {};

TEST(Setting, FillsWhatTheFileLeavesOut)
{
    const absl::StatusOr<BalancerProcessSettings> settings = parseBalancerSettings(R"({
        "listen": "127.0.0.1:7000",
        "zone": "a",
        "seeds": ["127.0.0.1:7001"]
    })");
    CHECK_TRUE(settings.ok());
    CHECK_EQUAL(7000, settings->listen.port);
    CHECK_EQUAL(1U, settings->seeds.size());
    CHECK_TRUE(settings->leaseTime == Duration(60s));
    STRCMP_EQUAL("product", settings->steering.c_str());
}

TEST(Setting, ReadsTheRateOfTheLinkWithOrWithoutAFraction)
{
    const auto linkRate = [](const char* limits) {
        const std::string text = std::string(R"({"listen": "127.0.0.1:7000", "zone": "a", "limits": )") + limits + "}";
        const absl::StatusOr<BalancerProcessSettings> settings = parseBalancerSettings(text);
        CHECK_TRUE(settings.ok());
        return settings->linkBytesPerSecond;
    };
    CHECK_EQUAL(0U, linkRate("{}"));
    CHECK_EQUAL(1'250'000U, linkRate(R"({"link_mbps": 10})"));
    CHECK_EQUAL(600'000U, linkRate(R"({"link_mbps": 4.8})"));
    CHECK_FALSE(parseBalancerSettings(R"({"listen": "127.0.0.1:7000", "zone": "a", "limits": {"link_mbps": 0.5}})").ok());
}

TEST(Setting, ReportsEveryFault)
{
    const absl::StatusOr<AgentProcessSettings> settings = parseAgentSettings(R"({
        "listen": "127.0.0.1:70000",
        "zon": "a",
        "upstream": {"url": "ftp://x", "slots": 0},
        "log": {"format": "xml"}
    })");
    const std::string message(settings.status().message());
    STRCMP_EQUAL("/listen: \"127.0.0.1:70000\": expected \"A.B.C.D:PORT\"\n"
                 "/log/format: \"xml\": expected one of text, json\n"
                 "/upstream/slots: 0: expected 1..600\n"
                 "/upstream/url: \"ftp://x\": expected \"http://A.B.C.D:PORT\"\n"
                 "/zon: unknown setting: did you mean /zone?\n"
                 "/zone: missing: expected name\n"
                 "/service: missing: expected name\n"
                 "/return: missing: expected address",
        message.c_str());
}

TEST(Setting, RefusesWhatIsNoObject)
{
    CHECK_FALSE(parseBalancerSettings("[]").ok());
    CHECK_FALSE(parseBalancerSettings("{").ok());
    CHECK_FALSE(parseBalancerSettings("").ok());
}
