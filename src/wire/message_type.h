/** @file message_type.h Every message between processes of the system, and the datagrams of a flow. */
#pragma once

#include "config/rule_patch.h"
#include "core/address_type.h"
#include "core/strong_type.h"
#include "member/member_type.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lavender {

using Bytes = std::vector<uint8_t>;

constexpr size_t maximumDatagramBytes = 1472; ///< Largest datagram that is read or sent.
constexpr size_t maximumPayloadBytes = 1280; ///< Largest payload of a flow's packet: an opaque packet with its own header, or an exchange.
constexpr size_t maximumCandidates = 16; ///< Agents that one packet may be offered to.
constexpr size_t maximumNameBytes = 64; ///< Names of services and zones.
constexpr size_t maximumRecordsPerDatagram = 12; ///< Member records in one datagram.
constexpr size_t maximumSnapshotRecords = 100'000; ///< Member records in one snapshot.
constexpr size_t maximumRulesBytes = 1'000'000; ///< Operators' rules; the store holds values up to 1 MB.
constexpr size_t maximumSnapshotBytes = 16'000'000; ///< One snapshot as sent.
constexpr size_t digestBuckets = 64; ///< Parts that the member table is split into for comparison.
constexpr uint8_t maximumHops = 14; ///< Agents that one packet may pass.

/** Where a packet stands in the life of its flow. */
enum class PacketMark : uint8_t {
    Opening, ///< First of a flow, or its repetition.
    Middle, ///< Any other.
    Closing, ///< The caller ends the flow.
};

/** One packet of a flow as the fabric carries it. */
struct FlowPacket {
    FlowKey flow;
    PacketMark mark = PacketMark::Middle;
    bool isToCaller = false; ///< False on the way to the service.
    Bytes payload; ///< maximumPayloadBytes at most.

    bool operator==(const FlowPacket&) const = default;
};

/** A packet on its way to the agent that owns its flow. */
struct ForwardedPacket {
    FlowPacket packet;
    uint64_t service = 0; ///< hashText of the service's name; an agent of another service drops the packet.
    std::vector<Address> candidates; ///< Agents in the order of preference.
    uint16_t visited = 0; ///< One bit for each candidate that has seen the packet.
    uint8_t hops = 0; ///< Agents passed so far.
    bool isPlaced = false; ///< An opening packet whose owner has been chosen.
    Address home; ///< Agent that chooses the owner of an opening packet.
    Address balancer; ///< Where the packet entered; hears who took an opening one. Not valid where nobody asks.
    Address asker; ///< Agent that searches for the flow and wants to hear whether the receiver's upstream holds it; else not valid.

    bool operator==(const ForwardedPacket&) const = default;
};

/** Asks an agent whether it holds a flow. */
struct FlowQuery {
    uint64_t service = 0;
    FlowKey flow;
    Address asker;
    bool operator==(const FlowQuery&) const = default;
};

/** Answers a FlowQuery. */
struct FlowQueryReply {
    FlowKey flow;
    Address responder;
    Address owner; ///< Where the flow is; not valid where the responder knows nothing of it.
    bool isUnsure = false; ///< The responder's upstream may hold the flow: a packet of it would tell.
    bool operator==(const FlowQueryReply&) const = default;
};

/** Hands a flow without open requests to another agent of its service. */
struct FlowMove {
    uint64_t service = 0;
    FlowKey flow;
    Address from;
    uint64_t finishedThrough = 0; ///< Requests of the flow with this id or a lower one never run again.
    uint32_t moves = 0; ///< Times that the flow has moved, this one counted.
    bool operator==(const FlowMove&) const = default;
};

/** Answers a FlowMove. */
struct FlowMoveReply {
    FlowKey flow;
    Address responder;
    uint32_t moves = 0; ///< Of the FlowMove that is answered.
    bool isTaken = false; ///< False: the flow stays where it was.
    bool operator==(const FlowMoveReply&) const = default;
};

/** What an agent carries now. */
struct LoadNews {
    uint64_t service = 0;
    Address agent;
    uint32_t openFlows = 0;
    uint16_t inFlight = 0; ///< Requests handed over or queued.
    uint16_t limit = 0; ///< Requests that it admits at once now.
    bool operator==(const LoadNews&) const = default;
};

/** An agent makes its upstream known to a balancer of its zone, and renews that. */
struct Announce {
    MemberRecord record;
    Revision revision = 0; ///< Configuration that the agent has.
    uint64_t peersDigest = 0; ///< Digest of what the agent knows of its service.
    bool operator==(const Announce&) const = default;
};

/** Answers an Announce. */
struct AnnounceReply {
    Address balancer;
    Revision revision = 0; ///< Configuration that the balancer has.
    std::vector<MemberRecord> peers; ///< Agents of the service; empty where the digests agree.
    std::vector<Address> balancers; ///< Some balancers of the agent's zone.
    uint64_t knownIncarnation = 0; ///< Incarnation that the balancer holds of the agent.
    uint32_t knownVersion = 0; ///< Version that the balancer holds of the agent.
    Liveness knownLiveness = Liveness::Alive; ///< Liveness that the balancer holds of the agent.
    bool isNudge = false; ///< No answer: the balancer has heard nothing for a while and asks for an announcement.
    bool operator==(const AnnounceReply&) const = default;
};

/** Probe between balancers, its answer, and the changes of membership that either carries. */
struct Gossip {
    Address sender;
    uint32_t sequence = 0; ///< Of the probe; repeated in its answer.
    bool isReply = false;
    Revision revision = 0; ///< Configuration that the sender has.
    uint64_t digest = 0; ///< Digest of the sender's whole member table.
    std::vector<MemberRecord> records;
    bool operator==(const Gossip&) const = default;
};

/** Compares two member tables part by part. */
struct DigestExchange {
    Address sender;
    bool isReply = false;
    std::vector<uint64_t> buckets; ///< digestBuckets parts.
    std::vector<MemberRecord> records; ///< Some records of the parts that differ; in answers only.
    bool operator==(const DigestExchange&) const = default;
};

/** Asks a process for its state. */
struct StatusAsk {
    uint64_t nonce = 0;
    bool operator==(const StatusAsk&) const = default;
};

/** State of a process. */
struct StatusReply {
    uint64_t nonce = 0;
    std::string json; ///< An object; docs/OPERATIONS.md names its members.
    bool operator==(const StatusReply&) const = default;
};

/** Asks for configuration and members as a whole; over TCP. */
struct SnapshotAsk {
    Revision have = 0; ///< Rules of this revision need not be sent again.
    bool wantsMembers = false; ///< A process that starts takes the members too; later news of them comes by gossip.
    uint64_t service = 0; ///< hashText of the one service whose agents are wanted; 0 for all members.
    bool operator==(const SnapshotAsk&) const = default;
};

/** Configuration and members as a whole; over TCP. */
struct Snapshot {
    Revision revision = 0;
    RulesPatch rules; ///< Operators' rules as committed, as a change of what the asker has where that is known.
    std::vector<MemberRecord> members;
    bool operator==(const Snapshot&) const = default;
};

/** What an agent makes of an opening packet that it is offered. */
enum class OpeningResult : uint8_t {
    Accepted, ///< Its upstream has answered.
    Busy, ///< No slot is free; it takes the packet where no other agent has one.
    Full, ///< Its queue is full for now.
    Refused, ///< Its upstream takes no new flow: it leaves, is silent, or cold.
};

/** Tells the balancer what became of an opaque flow's opening packet. */
struct OpeningOutcome {
    FlowKey flow;
    Address agent;
    OpeningResult result = OpeningResult::Refused;
    uint16_t busy = 0; ///< Requests that the upstream has now.
    uint16_t slots = 0; ///< Requests that it runs at once.
    uint16_t limit = 0; ///< Requests at the upstream at which the agent takes no fresh opening any more; 0 where it takes none at all.
    bool operator==(const OpeningOutcome&) const = default;
};

/** Any message; the order is the wire's and only grows at its end. */
using Message = std::variant<FlowPacket, ForwardedPacket, FlowQuery, FlowQueryReply, FlowMove, FlowMoveReply, LoadNews,
    Announce, AnnounceReply, Gossip, DigestExchange, StatusAsk, StatusReply, SnapshotAsk, Snapshot, OpeningOutcome>;

} // namespace lavender
