/** @file counter_type.h Everything that a process counts, described once. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lavender {

/** One counter; the order is that of counterTable. */
enum class Counter : uint8_t {
    PacketsReceived,
    PacketsForwarded,
    PacketsNoService,
    PacketsNoUpstream,
    PacketsWrongService,
    PacketsHopLimit,
    PacketsZoneOut,
    PayloadsMalformed,
    FlowsOpened,
    FlowsClosed,
    FlowsGivenUp,
    FlowsRefused,
    FlowsLost,
    FlowsMoved,
    FlowsReceived,
    FlowsExpired,
    Searches,
    SearchesLimited,
    Chained,
    RequestsHandedOver,
    RequestsAnswered,
    RequestsNotRun,
    RequestsMayHaveRun,
    RequestsRepeated,
    AnswersLate,
    UpstreamFailures,
    AnnouncesRefused,
    MembersSuspected,
    MembersGone,
    ConfigurationsAccepted,
    ConfigurationsOld,
    ConfigurationsRefused,
    FlowsReset,
    FlowsProbed,
    PacketsReturned,
    ReportsDropped,
    AgentsAvoided,
    OpeningsDeferred,
    Count, ///< Number of counters.
};

/** Name and help of one counter. */
struct CounterDescription {
    std::string_view name;
    std::string_view help;
};

extern const std::array<CounterDescription, static_cast<size_t>(Counter::Count)> counterTable; ///< In the order of Counter.

/** The counters of one process; they only rise. */
class Counters {
public:
    void add(Counter counter, uint64_t amount = 1) { this->values[static_cast<size_t>(counter)] += amount; }
    uint64_t get(Counter counter) const { return this->values[static_cast<size_t>(counter)]; }

private:
    std::array<uint64_t, static_cast<size_t>(Counter::Count)> values {};
};

} // namespace lavender
