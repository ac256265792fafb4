/** @file rule_test.cpp Parsing of the operators' rules with fault positions, edits of single lines, commands and patches. */
#include "config/rule_cmd.h"
#include "config/rule_func.h"
#include "config/rule_patch.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace lavender;

TEST_GROUP(Rule) {};

TEST(Rule, ReadsEveryKind)
{
    const ParsedRules parsed = parseRules("# all of it\n"
                                          "service orders at 10.0.0.1:80 slots 5 connections 100 ramp 2000 # ann\n"
                                          "announce orders in a # ann\n"
                                          "\n"
                                          "zone a out # bo\n"
                                          "drain 10.0.0.2:7000 # bo\n"
                                          "weight 10.0.0.3:7000 50 # ann\n");
    CHECK_TRUE(parsed.faults.empty());
    const Configuration& configuration = parsed.configuration;
    CHECK_EQUAL(5, configuration.findService("orders")->slots);
    CHECK_EQUAL(100U, configuration.findService("orders")->connections);
    CHECK_TRUE(configuration.findService("orders")->ramp == Duration(2s));
    CHECK_TRUE(configuration.isZoneOut("a"));
    CHECK_TRUE(configuration.mayAnnounce("orders", "a"));
    CHECK_FALSE(configuration.mayAnnounce("orders", "b"));
    CHECK_EQUAL(1U, configuration.drainedAgents.size());
    CHECK_EQUAL(50, configuration.agentWeightPercents.begin()->second);
}

TEST(Rule, ReportsAllFaultsWithTheirPlaces)
{
    const ParsedRules parsed = parseRules("service orders at 10.0.0.1:99999 # ann\n"
                                          "zone a away # bo\n"
                                          "frobnicate # bo\n"
                                          "zone a out\n"
                                          "announce proofs in a # ann\n"
                                          "service x at 1.2.3.4:5 slots 0 # ann\n");
    STRCMP_EQUAL("f:1:19: \"10.0.0.1:99999\": expected an address A.B.C.D:PORT with port 1..65535\n"
                 "f:2:8: \"away\": expected \"in\", \"out\" or \"drain\"\n"
                 "f:3:1: \"frobnicate\": expected one of service, route, announce, zone, drain, weight\n"
                 "f:4:11: no comment: expected \"# WHO ASKED\" after the rule\n"
                 "f:5:10: \"proofs\": expected the name of a service defined in this file\n"
                 "f:6:30: \"0\": expected a number 1..600\n",
        formatFaults("f", parsed.faults).c_str());
}

TEST(Rule, RefusesDoubles)
{
    CHECK_EQUAL(1U, parseRules("service a at 1.2.3.4:5 # x\nservice a at 1.2.3.4:6 # x\n").faults.size());
    CHECK_EQUAL(1U, parseRules("service a at 1.2.3.4:5 # x\nservice b at 1.2.3.4:5 # x\n").faults.size());
}

TEST(Rule, ZoneCommandTouchesOneLine)
{
    const std::string before = "# header\n  service a at 1.2.3.4:5   # x\nannounce a in z # x\nzone z in # old\n# end";
    const std::string after = withZone(before, "z", true, "bo");
    STRCMP_EQUAL("# header\n  service a at 1.2.3.4:5   # x\nannounce a in z # x\nzone z out # bo\n# end", after.c_str());
    STRCMP_EQUAL("a # x\nzone z in # bo\n", withZone("a # x", "z", false, "bo").c_str());
}

TEST(Rule, DrainIsAddedAndRemoved)
{
    const std::string before = "zone z in # x\n";
    const std::string drained = withDrain(before, { 0x01020304, 5 }, true, "bo");
    STRCMP_EQUAL("zone z in # x\ndrain 1.2.3.4:5 # bo\n", drained.c_str());
    STRCMP_EQUAL(before.c_str(), withDrain(drained, { 0x01020304, 5 }, false, "bo").c_str());
}

TEST(Rule, CommandWithoutANameOfWhoAskedIsRefused)
{
    const std::string rules = "service a at 1.2.3.4:5 # x\nannounce a in z # x\n";
    CHECK_FALSE(testCommand(rules, { .kind = RuleCommandKind::ZoneOut, .zone = "z" }).ok());
    CHECK_FALSE(testCommand(rules, { .kind = RuleCommandKind::ZoneOut, .zone = "z", .who = "a\nzone y out # b" }).ok());
    CHECK_TRUE(testCommand(rules, { .kind = RuleCommandKind::ZoneOut, .zone = "z", .who = "a" }).ok());
}

TEST(Rule, RoutesColdUpstreamsAndDrainingZones)
{
    const ParsedRules parsed = parseRules("service orders connections 10 cold 7 warmup 2000 # p\n"
                                          "route 10.0.0.1:80 to orders # p\n"
                                          "route 10.0.0.1:81 to orders # p\n"
                                          "announce orders in * # p\n"
                                          "zone a drain # p\n");
    STRCMP_EQUAL("", formatFaults("f", parsed.faults).c_str());
    const Configuration& configuration = parsed.configuration;
    const ServiceRule* service = configuration.findService("orders");
    CHECK_EQUAL(7, service->coldOpeningsPerSecond.value());
    CHECK(service->warmUp.value() == 2s);
    CHECK_EQUAL(2, configuration.serviceByAddress.size());
    CHECK(configuration.mayAnnounce("orders", "any-zone"));
    CHECK_FALSE(configuration.mayAnnounce("proofs", "any-zone"));
    CHECK(configuration.isZoneDraining("a"));
    CHECK_FALSE(configuration.isZoneOut("a"));
}

TEST(Rule, FaultyRoutesAreReported)
{
    const ParsedRules parsed = parseRules("service orders at 10.0.0.1:80 # p\n"
                                          "route 10.0.0.1:80 to orders # p\n"
                                          "route 10.0.0.1:81 to proofs # p\n"
                                          "route 10.0.0.1 to orders # p\n");
    STRCMP_EQUAL("f:2:7: address 10.0.0.1:80 is already used by a service or route: expected an unused one\n"
                 "f:3:22: \"proofs\": expected the name of a service defined above\n"
                 "f:4:7: \"10.0.0.1\": expected an address A.B.C.D:PORT with port 1..65535\n",
        formatFaults("f", parsed.faults).c_str());
}

TEST(Rule, ARouteCarriesWhatItsRequestsNeed)
{
    const ParsedRules parsed = parseRules("service orders # p\n"
                                          "route 10.0.0.1:80 to orders priority 2 timeout 5000 goal 400 # p\n"
                                          "route 10.0.0.1:81 to orders # p\n");
    STRCMP_EQUAL("", formatFaults("f", parsed.faults).c_str());
    const RouteRule& route = parsed.configuration.routes.at({ 0x0A000001, 80 });
    CHECK(route.latencyGoal == Duration(400ms) && route.timeout == Duration(5s) && route.priority == 2);
    const RouteRule& plain = parsed.configuration.routes.at({ 0x0A000001, 81 });
    CHECK(!plain.latencyGoal && !plain.timeout && plain.priority == 0);
    STRCMP_EQUAL("f:2:37: \"0\": expected a number 1..600000\n"
                 "f:3:38: \"256\": expected a number 0..255\n"
                 "f:4:29: \"colour\": expected \"goal\", \"timeout\" or \"priority\"\n",
        formatFaults("f", parseRules("service orders # p\n"
                                     "route 10.0.0.1:80 to orders timeout 0 # p\n"
                                     "route 10.0.0.1:81 to orders priority 256 # p\n"
                                     "route 10.0.0.1:82 to orders colour 1 # p\n")
                              .faults)
            .c_str());
}

TEST(Rule, ARouteDividesItsFlowsAmongServices)
{
    const std::string services = "service orders # p\nservice proofs # p\n";
    const ParsedRules parsed = parseRules(services + "route 10.0.0.1:80 to proofs 10 orders 90 goal 400 # p\n");
    STRCMP_EQUAL("", formatFaults("f", parsed.faults).c_str());
    const RouteRule& route = parsed.configuration.routes.at({ 0x0A000001, 80 });
    CHECK_EQUAL(2, route.shares.size());
    CHECK(parsed.configuration.services[route.shares[0].service.value].name == "proofs" && route.shares[0].weight == 10 && route.shares[1].weight == 90);
    CHECK(route.latencyGoal == Duration(400ms));
    STRCMP_EQUAL("f:3:37: unexpected end of line: expected a number 0..1000000\n"
                 "f:4:32: \"orders\" stands twice: expected each service once\n"
                 "f:5:22: all weights are 0: expected one above 0\n"
                 "f:6:32: \"gone\": expected the name of a service defined above\n",
        formatFaults("f", parseRules(services + "route 10.0.0.1:80 to orders 1 proofs    # p\n"
                                                "route 10.0.0.1:81 to orders 1  orders 2 # p\n"
                                                "route 10.0.0.1:82 to orders 0 proofs 0 # p\n"
                                                "route 10.0.0.1:83 to orders 1  gone 1 # p\n")
                              .faults)
            .c_str());
}

TEST(Rule, PatchMakesTheNewTextOrDoesNotFit)
{
    CHECK_TRUE(rc::check("patch", [](const std::string& front, const std::string& before, const std::string& after, const std::string& end) {
        const RulesPatch patch = makePatch(revisionAt(7), front + before + end, front + after + end);
        RC_ASSERT(patch.middle.size() <= after.size());
        RC_ASSERT(applyPatch(patch, revisionAt(7), front + before + end) == std::optional(front + after + end));
        RC_ASSERT(!applyPatch(patch, revisionAt(6), front + before + end).has_value());
        // Applied to any other text, the patch is rejected or gives the expected text, never a different one.
        const std::optional<std::string> made = applyPatch(patch, revisionAt(7), front + after + end + "x");
        const bool isWrong = made.has_value() && *made != front + after + end;
        RC_ASSERT(!isWrong);
    }));
}

TEST(Rule, AnyTextIsReadOrRefused)
{
    CHECK_TRUE(rc::check("any text", [](const std::string& text) {
        const ParsedRules parsed = parseRules(text);
        for (const RuleFault& fault : parsed.faults) {
            RC_ASSERT(fault.position.line >= 1U);
            RC_ASSERT(fault.position.column >= 1U);
        }
    }));
}
