/** @file platform_document_test.cpp Tests the translation of the platform's packets, documents and heartbeats. */
#include "config/rule_func.h"
#include "packet_test.h"
#include "platform/document.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace lavender;
using namespace lavender::test;

TEST_GROUP(PlatformDocument) {};

TEST(PlatformDocument, ReadsTheExamplePacket)
{
    const Bytes packet { 0x11, 0x22, 0x33, 0x44, 0, 0, 0, 0, 0x01, 0xa1, 0xb2, 0xc3, 0xd5, 0xc6, 0x12, 0, 1, 1, 0xbb, 0x9c, 0x41, 0x64, 0x40, 0, 7, 0, 0, 0, 0, 0, 0 };
    const Segment segment = *platform::PacketCodec().parse(packet);
    CHECK(segment.source == (Address { 0x64400007, 40001 }));
    CHECK(segment.destination == (Address { 0xC6120001, 443 }));
    CHECK_EQUAL(0x11223344, segment.sequence);
    CHECK(segment.isOpening);
    CHECK_FALSE(segment.isAcknowledging);
    const Bytes reset { 0, 0, 0, 0, 0, 0, 0, 0, 8, 0, 0, 0, 0, 0x64, 0x40, 0, 7, 0x9c, 0x41, 0x01, 0xbb, 0xc6, 0x12, 0, 1, 0, 0, 0, 0, 0, 0 };
    CHECK(platform::PacketCodec().makeReset(segment.flowOfCaller(), 0) == reset);
}

TEST(PlatformDocument, PacketsOfWrongLengthsAreRefused)
{
    const platform::PacketCodec codec;
    const bool isPassed = rc::check("any bytes give a header that fits them, or none", [&codec](const std::vector<uint8_t>& bytes) {
        const auto segment = codec.parse(bytes);
        RC_ASSERT(!segment || segment->dataBytes + size_t { 31 } == bytes.size());
    });
    CHECK(isPassed);
    Bytes packet = makePacket(caller(1), packetService, AcknowledgingFlag, 0, 0, 1201);
    CHECK_FALSE(codec.parse(packet).has_value());
    packet = makePacket(caller(1), packetService, AcknowledgingFlag, 0, 0, 5);
    packet.pop_back();
    CHECK_FALSE(codec.parse(packet).has_value());
}

TEST(PlatformDocument, TranslatesRoutesAndServices)
{
    const std::string json = R"({"version":7,"routes":[
        {"name":"r1","host":"198.18.0.1","prefix":"/8080/","service":"huvo11a"},
        {"name":"r2","host":"198.18.0.2","prefix":"/443/","service":"gone"},
        {"name":"r3","host":"198.18.0.1","prefix":"/8080/","service":"huvo11a"},
        {"name":"r4","host":"198.18.0.1","prefix":"8080","service":"huvo11a"}, 5],
        "services":[{"name":"huvo11a","maxConns":2000,"coldStartS":2.0,"coldPerS":7.9},{"name":"Wrong Name"}],"limits":{}})";
    int faults = 0;
    const auto document = platform::parseOperatorDocument(json, [&faults](std::string_view, std::string_view) { ++faults; });
    CHECK(document.ok());
    CHECK_EQUAL(7, document->version);
    CHECK_EQUAL(5, faults);
    const ParsedRules parsed = parseRules(document->rules + platform::formatDrainingZones({ "mid-a" }));
    STRCMP_EQUAL("", formatFaults("rules", parsed.faults).c_str());
    const Configuration& configuration = parsed.configuration;
    CHECK(configuration.serviceByAddress.contains({ 0xC6120001, 8080 }));
    CHECK_EQUAL(1, configuration.serviceByAddress.size());
    CHECK_EQUAL(7, configuration.findService("huvo11a")->coldOpeningsPerSecond.value());
    CHECK(configuration.findService("huvo11a")->warmUp.value() == 2s);
    CHECK(configuration.isZoneDraining("mid-a"));
    CHECK(configuration.mayAnnounce("huvo11a", "anywhere"));
}

TEST(PlatformDocument, ReadsWhatARoutesRequestsNeed)
{
    const auto document = platform::parseOperatorDocument(R"({"version":1,"services":[{"name":"a"}],"routes":[
        {"host":"198.18.0.1","prefix":"/1/","service":"a","timeoutMs":5000,"latencyGoalMs":400,"priority":2},
        {"host":"198.18.0.1","prefix":"/2/","service":"a","timeoutMs":"5000","latencyGoalMs":0,"priority":-1},
        {"host":"198.18.0.1","prefix":"/3/","service":"a","timeoutMs":9e12,"priority":70000}]})",
        [](std::string_view, std::string_view) {});
    const ParsedRules parsed = parseRules(document->rules);
    STRCMP_EQUAL("", formatFaults("rules", parsed.faults).c_str());
    const RouteRule& stated = parsed.configuration.routes.at({ 0xC6120001, 1 });
    CHECK(stated.timeout == Duration(5s) && stated.latencyGoal == Duration(400ms) && stated.priority == 2);
    const RouteRule& malformed = parsed.configuration.routes.at({ 0xC6120001, 2 });
    CHECK(!malformed.timeout && !malformed.latencyGoal && malformed.priority == 0);
    const RouteRule& large = parsed.configuration.routes.at({ 0xC6120001, 3 });
    CHECK(large.timeout == Duration(600s) && large.priority == 255);
}

TEST(PlatformDocument, TranslatesSplitRoutes)
{
    int faults = 0;
    const auto document = platform::parseOperatorDocument(R"({"version":1,"services":[{"name":"a"},{"name":"b"},{"name":"goal"}],"routes":[
        {"host":"198.18.0.1","prefix":"/1/","backends":[{"service":"a","weight":90},{"service":"b","weight":10}]},
        {"host":"198.18.0.1","prefix":"/2/","backends":[{"service":"a","weight":5},{"service":"gone","weight":5},{"service":"a","weight":"7"},7,{"service":"goal","weight":1}]},
        {"host":"198.18.0.1","prefix":"/3/","backends":[{"service":"a","weight":0}]},
        {"host":"198.18.0.1","prefix":"/4/","backends":[{"service":"a","weight":2},{"service":"a","weight":9000000}]}]})",
        [&faults](std::string_view, std::string_view) { ++faults; });
    CHECK_EQUAL(5, faults);
    const ParsedRules parsed = parseRules(document->rules);
    STRCMP_EQUAL("", formatFaults("rules", parsed.faults).c_str());
    const auto& routes = parsed.configuration.routes;
    CHECK_EQUAL(3, routes.size());
    CHECK(routes.at({ 0xC6120001, 1 }).shares.size() == 2 && routes.at({ 0xC6120001, 1 }).shares[1].weight == 10);
    CHECK(routes.at({ 0xC6120001, 2 }).shares.size() == 1 && routes.at({ 0xC6120001, 2 }).shares[0].weight == 5);
    CHECK_EQUAL(1'000'000, routes.at({ 0xC6120001, 4 }).shares[0].weight);
}

TEST(PlatformDocument, ADocumentThatCannotBeReadIsRefusedWhole)
{
    const auto ignore = [](std::string_view, std::string_view) {};
    for (const char* json : { "", "[]", "{\"version\":\"7\",\"routes\":[],\"services\":[]}", "{\"version\":7,\"routes\":{}}" }) {
        CHECK_FALSE(platform::parseOperatorDocument(json, ignore).ok());
    }
}

TEST(PlatformDocument, ReadsHeartbeatsAndRefusesOthers)
{
    const auto report = platform::parseHeartbeat("i-1", R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":8,"state":"draining","coldLeftMs":12.5,"seq":4,"born":1770326207353})");
    CHECK(report.ok());
    CHECK(report->isDraining);
    CHECK_EQUAL(8, report->slots);
    CHECK(report->coldLeft == 12500us);
    CHECK_EQUAL(1770326207353, report->started.value());
    for (const char* json : { "{", "{}", R"({"service":"a","slots":8,"state":"asleep","coldLeftMs":0,"seq":4})", R"({"service":"a","slots":"8","state":"ready","coldLeftMs":0,"seq":4})", R"({"service":"a","slots":8,"state":"ready","coldLeftMs":-1,"seq":4})" }) {
        CHECK_FALSE(platform::parseHeartbeat("i-1", json).ok());
    }
    CHECK_EQUAL(5, platform::parseDeregistration("{\"born\":5}").value());
    CHECK_FALSE(platform::parseDeregistration("").has_value());
}
