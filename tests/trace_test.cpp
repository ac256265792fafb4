/** @file trace_test.cpp Parsing of traces: order of events, and errors that name the line and the reason. */
#include "replay/trace_type.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace lavender;

namespace {

// The pieces form a single line of the trace.
const std::string setupLine = R"({"setup": {)"
                              R"("services": [{"name": "orders", "slots": 5}], )"
                              R"("balancers": [{"name": "b0", "zone": "a"}], )"
                              R"("upstreams": [{"name": "u0", "service": "orders", "zone": "a"}], )"
                              R"("end_ms": 1000}})"
                              "\n";

/** Message of the error that parsing @p text gives. */
std::string errorOf(const std::string& text) { return std::string(parseTrace(text).status().message()); }

} // namespace

TEST_GROUP(Trace) {};

TEST(Trace, SortsEventsByTime)
{
    const absl::StatusOr<Trace> trace = parseTrace(setupLine
        + "// note\n"
          "{\"at_ms\": 20, \"do\": \"heal\"}\n"
          "{\"at_ms\": 10, \"do\": \"balancer_dies\", \"name\": \"b0\"}\n"
          "{\"expect\": \"broken_flows\", \"at_most\": 0}\n");
    CHECK_TRUE(trace.ok());
    STRCMP_EQUAL("balancer_dies", trace->events[0].kind.c_str());
    CHECK_EQUAL(1U, trace->expectations.size());
}

TEST(Trace, ErrorsNameLineAndReason)
{
    STRCMP_EQUAL("line 1: expected {\"setup\": ...}", errorOf("").c_str());
    STRCMP_EQUAL("line 1: not a JSON object", errorOf("x").c_str());
    STRCMP_EQUAL("line 1: expected {\"setup\": ...} first", errorOf("{\"do\": \"heal\"}").c_str());
    STRCMP_EQUAL("line 2: \"name\": \"b9\": expected a name from the setup or from an earlier balancer_joins line", errorOf(setupLine + "{\"at_ms\": 1, \"do\": \"balancer_dies\", \"name\": \"b9\"}").c_str());
    STRCMP_EQUAL("line 2: \"at_ms\": -1: expected a number of 0 or more", errorOf(setupLine + "{\"at_ms\": -1, \"do\": \"heal\"}").c_str());
    STRCMP_EQUAL("line 2: \"name\": missing: expected a string", errorOf(setupLine + "{\"at_ms\": 1, \"do\": \"balancer_dies\"}").c_str());
    STRCMP_EQUAL("line 2: expected either \"at_most\" or \"at_least\"", errorOf(setupLine + "{\"expect\": \"answered\"}").c_str());
    CHECK_TRUE(errorOf(setupLine + "{\"at_ms\": 1, \"do\": \"explode\"}").starts_with("line 2: \"do\": \"explode\": expected one of heal, flows"));
    CHECK_TRUE(errorOf(setupLine + "{\"expect\": \"joy\", \"at_most\": 0}").starts_with("line 2: \"expect\": \"joy\": expected one of broken_flows"));
    STRCMP_EQUAL("line 1: \"services\": \"colour\": unknown field: expected one of name, slots, connections, ramp_ms", errorOf(R"({"setup": {"services": [{"colour": 1}], "balancers": [], "upstreams": [], "end_ms": 1}})").c_str());
}
