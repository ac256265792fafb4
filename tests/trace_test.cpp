/** @file trace_test.cpp Bad traces are refused with their line and the reason. */
#include "replay/trace_type.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace lavender;

namespace {

const std::string fixture = R"({"setup": {"services": [{"name": "orders", "slots": 5}], "balancers": [{"name": "b0", "zone": "a"}], "upstreams": [{"name": "u0", "service": "orders", "zone": "a"}], "end_ms": 1000}})"
                            "\n";

std::string faultOf(const std::string& text) { return std::string(parseTrace(text).status().message()); }

} // namespace

TEST_GROUP(Trace) {};

TEST(Trace, ReadsEventsByTime)
{
    const absl::StatusOr<Trace> trace = parseTrace(fixture + "// note\n{\"at_ms\": 20, \"do\": \"heal\"}\n{\"at_ms\": 10, \"do\": \"balancer_dies\", \"name\": \"b0\"}\n{\"expect\": \"broken_flows\", \"at_most\": 0}\n");
    CHECK_TRUE(trace.ok());
    STRCMP_EQUAL("balancer_dies", trace->events[0].kind.c_str());
    CHECK_EQUAL(1U, trace->expectations.size());
}

TEST(Trace, RefusesWithLineAndReason)
{
    STRCMP_EQUAL("line 1: expected {\"setup\": ...}", faultOf("").c_str());
    STRCMP_EQUAL("line 1: not a JSON object", faultOf("x").c_str());
    STRCMP_EQUAL("line 1: expected {\"setup\": ...} first", faultOf("{\"do\": \"heal\"}").c_str());
    STRCMP_EQUAL("line 2: \"name\": \"b9\": expected a name that the setup or an earlier line has", faultOf(fixture + "{\"at_ms\": 1, \"do\": \"balancer_dies\", \"name\": \"b9\"}").c_str());
    STRCMP_EQUAL("line 2: \"at_ms\": -1: expected a number of 0 or more", faultOf(fixture + "{\"at_ms\": -1, \"do\": \"heal\"}").c_str());
    STRCMP_EQUAL("line 2: \"name\": missing: expected a text", faultOf(fixture + "{\"at_ms\": 1, \"do\": \"balancer_dies\"}").c_str());
    STRCMP_EQUAL("line 2: expected either \"at_most\" or \"at_least\"", faultOf(fixture + "{\"expect\": \"answered\"}").c_str());
    CHECK_TRUE(faultOf(fixture + "{\"at_ms\": 1, \"do\": \"explode\"}").starts_with("line 2: \"do\": \"explode\": expected one of heal, flows"));
    CHECK_TRUE(faultOf(fixture + "{\"expect\": \"joy\", \"at_most\": 0}").starts_with("line 2: \"expect\": \"joy\": expected one of broken_flows"));
    STRCMP_EQUAL("line 1: \"services\": \"colour\": unknown: expected name, slots, connections, ramp_ms", faultOf(R"({"setup": {"services": [{"colour": 1}], "balancers": [], "upstreams": [], "end_ms": 1}})").c_str());
}
