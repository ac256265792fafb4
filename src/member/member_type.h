/** @file member_type.h Membership record that a process publishes about itself. */
#pragma once

#include "core/address_type.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lavender {

/** Kind of process. */
enum class MemberRole : uint8_t {
    Balancer, ///< Receives packets from the fabric and forwards them to agents.
    Agent, ///< Runs beside one upstream and owns flows.
};

/** State that a member reports about itself. */
enum class MemberState : uint8_t {
    Cold, ///< Slow start after the start of the upstream: only part of its slots is used.
    Ready, ///< Takes its full share of the work.
    Shedding, ///< Overloaded; refuses new work for now.
    Draining, ///< About to stop; takes no new flow.
    NoUpstream, ///< Agent that holds no flow: its upstream leaves probes unanswered, or it announced its leave.
};

/** What other processes believe about a member. Among records of one version the higher value wins. */
enum class Liveness : uint8_t {
    Alive, ///< Answers probes or sends heartbeats.
    Suspect, ///< Has not answered probes or sent heartbeats; may refute the suspicion with a higher version.
    Gone, ///< Left, or did not refute a suspicion in time.
};

/** Membership record of one process, as sent on the wire. Only the process itself raises its incarnation and version. */
struct MemberRecord {
    Address address; ///< Where it listens; identifies the member.
    MemberRole role = MemberRole::Balancer;
    std::string zone; ///< Availability zone.
    std::string service; ///< Service of the upstream; empty for a balancer.
    uint64_t incarnation = 0; ///< Raised at each start of the process.
    uint32_t version = 0; ///< Raised at each change of the record within an incarnation.
    MemberState state = MemberState::Cold;
    Liveness liveness = Liveness::Alive;
    uint16_t slots = 0; ///< Requests that the upstream runs concurrently.
    uint16_t weight = 0; ///< Capacity that the upstream offers now, in hundredths of a slot.

    bool operator==(const MemberRecord&) const = default;
};

/** True if @p left replaces @p right, a record of the same address: by incarnation, then version, then liveness. */
constexpr bool isNewer(const MemberRecord& left, const MemberRecord& right)
{
    if (left.incarnation != right.incarnation) {
        return left.incarnation > right.incarnation;
    }
    if (left.version != right.version) {
        return left.version > right.version;
    }
    return left.liveness > right.liveness;
}

/** True if the member may be given new flows. */
constexpr bool isEligible(const MemberRecord& record)
{
    return record.liveness == Liveness::Alive && (record.state == MemberState::Cold || record.state == MemberState::Ready);
}

/** Name in logs, status and reports; operators match it. */
constexpr std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Cold:
        return "cold";
    case MemberState::Ready:
        return "ready";
    case MemberState::Shedding:
        return "shedding";
    case MemberState::Draining:
        return "draining";
    case MemberState::NoUpstream:
        return "vacant";
    }
    return "unknown";
}

/** Name in logs, status and reports; operators match it. */
constexpr std::string_view toString(Liveness liveness)
{
    switch (liveness) {
    case Liveness::Alive:
        return "alive";
    case Liveness::Suspect:
        return "suspect";
    case Liveness::Gone:
        return "gone";
    }
    return "unknown";
}

} // namespace lavender
