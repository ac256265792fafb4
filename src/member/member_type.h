/** @file member_type.h What one process of the system tells the others of itself. */
#pragma once

#include "core/address_type.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lavender {

/** What a member does. */
enum class MemberRole : uint8_t {
    Balancer, ///< Takes packets from the fabric.
    Agent, ///< Stands beside one upstream.
};

/** What a member says of itself. */
enum class MemberState : uint8_t {
    Cold, ///< Starts; carries a part of its slots only.
    Ready, ///< Carries its whole share.
    Shedding, ///< Refuses new work for now.
    Draining, ///< Leaves; takes no new flow.
    Vacant, ///< An agent without an upstream: it holds no flow.
};

/** What the others hold of a member. Later values win over earlier ones of the same version. */
enum class Liveness : uint8_t {
    Alive, ///< Answers.
    Suspect, ///< Missed its probes; may refute that by a higher version.
    Gone, ///< Left, or was suspect for too long.
};

/** One member as it travels. Only the member itself raises its incarnation and version. */
struct MemberRecord {
    Address address; ///< Where it listens; its identity.
    MemberRole role = MemberRole::Balancer;
    std::string zone; ///< Availability zone, from its settings.
    std::string service; ///< Service of the upstream; empty for a balancer.
    uint64_t incarnation = 0; ///< Raised at each start.
    uint32_t version = 0; ///< Raised at each change within an incarnation.
    MemberState state = MemberState::Cold;
    Liveness liveness = Liveness::Alive;
    uint16_t slots = 0; ///< Requests that the upstream runs at once.
    uint16_t weight = 0; ///< Share of the work it can carry now, in hundredths of a slot.

    bool operator==(const MemberRecord&) const = default;
};

/** True where @p left is newer than @p right, both of one address. */
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

/** True where the member may be given a new flow. */
constexpr bool isEligible(const MemberRecord& record)
{
    return record.liveness == Liveness::Alive && (record.state == MemberState::Cold || record.state == MemberState::Ready);
}

/** Stable name for logs and reports. */
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
    case MemberState::Vacant:
        return "vacant";
    }
    return "unknown";
}

/** Stable name for logs and reports. */
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
