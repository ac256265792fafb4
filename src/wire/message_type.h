/** @file message_type.h Messages between the processes of the system, and packets of flows. */
#pragma once

#include "config/rule_patch.h"
#include "core/address_type.h"
#include "core/revision_type.h"
#include "member/member_type.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lavender {

using Bytes = std::vector<uint8_t>;

constexpr size_t maximumDatagramBytes = 1472; ///< Longest datagram that is sent or accepted.
constexpr size_t maximumPayloadBytes = 1280; ///< Longest payload of a FlowPacket: an opaque packet with its header, or a FlowPayload.
constexpr size_t maximumCandidates = 16; ///< Agents that one packet may be offered to; ForwardedPacket::visited has a bit for each.
constexpr size_t maximumNameBytes = 64; ///< Longest name of a service or zone.
constexpr size_t maximumRecordsPerDatagram = 12; ///< Member records in one datagram.
constexpr size_t maximumSnapshotRecords = 100'000; ///< Member records in one snapshot.
constexpr size_t maximumRulesBytes = 1'000'000; ///< Longest text of the operators' rules; the store holds values up to 1 MB.
constexpr size_t maximumSnapshotBytes = 16'000'000; ///< Longest encoded snapshot.
constexpr size_t digestBuckets = 64; ///< Buckets that the member table is split into for anti-entropy.
constexpr size_t maximumFlowsPerRegistration = 80; ///< Flows in one FlowRegistration.
constexpr size_t maximumFlowsPerHoldersQuery = 40; ///< Flows in one HoldersQuery; a reply has room for them and for agents.
constexpr size_t maximumAgentsPerHoldersReply = 60; ///< Agents in one HoldersReply.
constexpr size_t maximumRouteServices = 3; ///< Services of a route in which a flow is looked for.
constexpr size_t maximumServiceEntries = 2 * maximumRouteServices - 2; ///< Each service is entered twice: first briefly, but for the last one, then thoroughly.
constexpr uint8_t maximumHops = 14; ///< Agents that one packet may pass through.

/** Role of a packet in its flow. */
enum class PacketMark : uint8_t {
    Opening, ///< First packet of a flow, or a retransmission of it (SYN).
    Established, ///< Any packet that neither opens nor closes the flow.
    Closing, ///< The caller closes the flow.
};

/** One packet of a flow, between its caller and the system. */
struct FlowPacket {
    FlowKey flow;
    PacketMark mark = PacketMark::Established;
    bool isToCaller = false; ///< True on the way to the caller, false on the way to the service.
    Bytes payload; ///< An opaque packet or an encoded FlowPayload; at most maximumPayloadBytes.

    bool operator==(const FlowPacket&) const = default;
};

/** Where a packet enters another service of its route. */
struct ServiceEntry {
    uint64_t service = 0; ///< hashText of the service's name.
    Address agent; ///< Agent of the service that gets the packet first.
    bool operator==(const ServiceEntry&) const = default;
};

/** A packet of a flow on its way through the agents of its service, to the one that owns the flow. */
struct ForwardedPacket {
    FlowPacket packet; ///< The packet as received from the caller.
    uint64_t service = 0; ///< hashText of the service's name; an agent of another service drops the packet.
    std::vector<Address> candidates; ///< Agents that may own the flow, in order of preference.
    uint16_t visited = 0; ///< Bit i is set once candidates[i] has received the packet.
    uint8_t hops = 0; ///< Agents that the packet has passed through so far.
    /**
     * For an opening packet: the receiver has been chosen as the owner and does not look for a less loaded agent. The receiver
     * of an opaque one takes it even if no slot is free, into its queue.
     */
    bool isPlaced = false;
    /**
     * For an opening packet: agent that ranks first for the flow. It chooses the owner, or is told who took an opaque flow.
     * For another packet of an opaque flow: first agent on the way, which the owner reports to; not valid if it needs no report.
     */
    Address home;
    Address balancer; ///< Balancer that an OpeningOutcome is sent to; not valid if none is wanted.
    Address searcher; ///< Agent that is told whether the receiver holds the flow: it searches for it or awaits the owner's report. Not valid if none does.
    std::vector<ServiceEntry> otherServices; ///< Where the packet goes next if no agent of this service holds its flow; empty for an opening packet.
    uint8_t servicePasses = 0; ///< Times that the packet has passed to another service.
    Revision rulesRevision; ///< For an opening packet: rules by which the balancer chose the service; not valid if not stated.

    bool operator==(const ForwardedPacket&) const = default;
};

/** Asks an agent whether it holds a flow; sent to all agents of the service in a search. */
struct FlowQuery {
    uint64_t service = 0; ///< hashText of the service's name.
    FlowKey flow;
    Address searcher; ///< Agent that the reply is sent to.
    bool operator==(const FlowQuery&) const = default;
};

/** Answers a FlowQuery. */
struct FlowQueryReply {
    FlowKey flow;
    Address responder; ///< Agent that answers.
    Address owner; ///< Agent that holds the flow; not valid if the responder knows of none.
    bool mayHoldFlow = false; ///< The responder's upstream may hold the flow; only a packet sent to it can tell.
    bool isOtherService = false; ///< The owner belongs to another service than the receiver.
    bool operator==(const FlowQueryReply&) const = default;
};

/** Hands a flow that has no request at the upstream over to another agent of its service. */
struct FlowMove {
    uint64_t service = 0; ///< hashText of the service's name.
    FlowKey flow;
    Address from; ///< Agent that holds the flow so far.
    uint64_t finishedThrough = 0; ///< Requests of the flow with this id or a lower one must never run again.
    uint32_t moveCount = 0; ///< Number of moves of the flow, including this one; tells a retransmission from a later move.
    bool operator==(const FlowMove&) const = default;
};

/** Answers a FlowMove. */
struct FlowMoveReply {
    FlowKey flow;
    Address responder; ///< Agent that answers.
    uint32_t moveCount = 0; ///< FlowMove::moveCount of the message that is answered.
    bool isAccepted = false; ///< True if the responder holds the flow now; else the flow stays with its sender.
    bool operator==(const FlowMoveReply&) const = default;
};

/** Present load of an agent, sent to other agents of its service. */
struct LoadReport {
    uint64_t service = 0; ///< hashText of the service's name.
    Address agent; ///< Agent whose load this is.
    uint32_t openFlows = 0; ///< Flows that the agent owns.
    uint16_t inFlight = 0; ///< Requests at the upstream or queued for it.
    uint16_t limit = 0; ///< Present concurrency limit: requests that the agent runs at its upstream at the same time.
    bool operator==(const LoadReport&) const = default;
};

/** Announces an agent and its upstream to a balancer; repeated as the agent's heartbeat. */
struct Announce {
    MemberRecord record; ///< The agent's own record.
    Revision revision; ///< Revision of the configuration in force at the agent.
    uint64_t peersDigest = 0; ///< digestRecords of all agents of the service that the agent knows, itself included.
    bool operator==(const Announce&) const = default;
};

/** Answers an Announce. */
struct AnnounceReply {
    Address balancer; ///< Balancer that answers.
    Revision revision; ///< Revision of the configuration in force at the balancer.
    std::vector<MemberRecord> peers; ///< Agents of the service, over several replies if need be; empty if the digests agree.
    std::vector<Address> balancers; ///< Some balancers of the agent's zone; empty in most replies.
    uint64_t knownIncarnation = 0; ///< Incarnation of the agent in the balancer's table.
    uint32_t knownVersion = 0; ///< Version of the agent's record in the balancer's table.
    Liveness knownLiveness = Liveness::Alive; ///< Liveness of the agent in the balancer's table; the agent refutes a wrong one.
    bool isAnnounceRequest = false; ///< Not a reply: the balancer asks the agent to announce itself now, for example since its heartbeats have stopped.
    bool operator==(const AnnounceReply&) const = default;
};

/** Probe between balancers, or the reply to one; both carry membership changes (SWIM). */
struct Gossip {
    Address sender; ///< Balancer that sends the message.
    uint32_t sequence = 0; ///< Number of the probe; its reply has the same.
    bool isReply = false; ///< True for a reply, false for a probe.
    Revision revision; ///< Revision of the configuration in force at the sender.
    uint64_t digest = 0; ///< Digest of the sender's whole member table.
    std::vector<MemberRecord> records; ///< Members that changed lately.
    bool operator==(const Gossip&) const = default;
};

/** Anti-entropy between balancers: compares two member tables by the digests of their buckets. */
struct DigestExchange {
    Address sender; ///< Balancer that sends the message.
    bool isReply = false;
    std::vector<uint64_t> buckets; ///< Digests of all digestBuckets buckets of the sender; empty if only records are sent.
    std::vector<MemberRecord> records; ///< Some of the sender's records in the buckets that differ; in replies only.
    bool operator==(const DigestExchange&) const = default;
};

/** Asks a process for its status. */
struct StatusRequest {
    uint64_t nonce = 0; ///< Number that the reply repeats.
    bool operator==(const StatusRequest&) const = default;
};

/** Status of a process. */
struct StatusReply {
    uint64_t nonce = 0; ///< Number of the StatusRequest that is answered.
    std::string json; ///< JSON object; docs/OPERATIONS.md describes its members.
    bool operator==(const StatusReply&) const = default;
};

/** Asks for the configuration, and for members if wanted; sent over TCP. */
struct SnapshotRequest {
    Revision knownRevision; ///< Revision in force at the requester; only newer rules are sent, as a patch of these if possible.
    bool includeMembers = false; ///< Asks for members too; set by a process that starts. Later changes reach it by gossip.
    uint64_t service = 0; ///< hashText of the service whose agents are wanted; 0 for all members.
    bool operator==(const SnapshotRequest&) const = default;
};

/** Configuration and members of a process; sent over TCP. */
struct Snapshot {
    Revision revision; ///< Revision of the rules; not valid if the requester needs none.
    RulesPatch rules; ///< The operators' rules: a patch of SnapshotRequest::knownRevision if that revision is still known, else the whole text.
    std::vector<MemberRecord> members; ///< Members that were asked for.
    bool operator==(const Snapshot&) const = default;
};

/** Answer of an agent that a balancer has offered the opening packet of an opaque flow. */
enum class OpeningResult : uint8_t {
    Accepted, ///< The upstream has answered the opening packet; the agent owns the flow.
    Busy, ///< No slot is free; the agent takes the packet into its queue if offered again with ForwardedPacket::isPlaced.
    Full, ///< The agent's queue is full for now.
    Refused, ///< The upstream takes no new flow at present: it is draining, silent or cold, for example.
    OtherRules, ///< The agent's rules, which are later than the balancer's, send the flow to other services.
};

/** How the requests of the latest second or so ended at one upstream, as its agent saw it. */
struct RequestOutcomes {
    uint16_t finished = 0; ///< Requests that the upstream began to answer.
    uint16_t failed = 0; ///< Requests that it broke off, or has left without an answer for too long.
    uint16_t goodInARow = 0; ///< Requests answered since the last that counts as failed, whenever that was.
    uint32_t processingUs = 0; ///< Mean processing time of the finished requests in microseconds; 0 if there are none.
    bool operator==(const RequestOutcomes&) const = default;
};

/** Tells the balancer what an agent did with the opening packet of an opaque flow, and the agent's load. */
struct OpeningOutcome {
    FlowKey flow;
    Address agent; ///< Agent that answers.
    OpeningResult result = OpeningResult::Refused;
    uint16_t busy = 0; ///< Requests at the upstream now, running or queued.
    uint16_t slots = 0; ///< Requests that the upstream runs at once.
    uint16_t limit = 0; ///< Value of busy from which the agent takes no more opening packets; 0 if it takes none at present.
    uint32_t processingMs = 0; ///< Mean time that the upstream works on one request, rounded up; 0 if unknown.
    uint16_t lastChanceLimit = 0; ///< Like limit, for the last copy of an opening whose caller can't be answered by a later packet.
    RequestOutcomes requests; ///< How the latest requests ended at the agent's upstream.
    uint64_t service = 0; ///< hashText of the name of the agent's service.
    bool isOpen = false; ///< Not an answer to an offer: the agent owns this flow, which was looked for in another service.
    bool operator==(const OpeningOutcome&) const = default;
};

/** Registers flows with an agent of the service's flow directory; repeated until the reply arrives. */
struct FlowRegistration {
    uint64_t service = 0; ///< hashText of the service's name.
    Address owner; ///< Agent whose flows these are.
    uint64_t incarnation = 0; ///< Of the owner.
    uint32_t number = 0; ///< Number of the message; its reply has the same.
    bool isComplete = false; ///< With this message the receiver knows all flows that the owner has to register with it.
    bool knowsAllFlows = false; ///< The owner's upstream can hold no flow that the owner does not know.
    std::vector<FlowKey> flows; ///< At most maximumFlowsPerRegistration.
    bool operator==(const FlowRegistration&) const = default;
};

/** Answers a FlowRegistration, or asks for one. */
struct FlowRegistrationReply {
    Address responder; ///< Agent that answers.
    uint64_t incarnation = 0; ///< Of the responder; a new one knows nothing of earlier registrations.
    uint32_t number = 0; ///< FlowRegistration::number of the message that is answered; 0 if this asks for a registration.
    bool operator==(const FlowRegistrationReply&) const = default;
};

/** Asks an agent of the flow directory who owns a flow. */
struct DirectoryQuery {
    uint64_t service = 0; ///< hashText of the service's name.
    FlowKey flow;
    Address searcher; ///< Agent that the reply is sent to.
    bool operator==(const DirectoryQuery&) const = default;
};

/** What an agent of the flow directory knows of a flow. */
enum class DirectoryFinding : uint8_t {
    Pending, ///< Not known yet; another reply follows.
    Listed, ///< One of the agents in the reply owns the flow.
    Gone, ///< No agent has registered the flow; only the agents in the reply could hold it without knowing it.
    Unknown, ///< The directory cannot tell.
    KeptElsewhere, ///< By the responder's view of the members, other agents keep the flow's entry.
};

/** Answers a DirectoryQuery. */
struct DirectoryReply {
    FlowKey flow;
    Address responder; ///< Agent that answers.
    DirectoryFinding finding = DirectoryFinding::Unknown;
    std::vector<Address> agents; ///< At most maximumCandidates; see DirectoryFinding.
    bool operator==(const DirectoryReply&) const = default;
};

/** An agent, and which of the processes that have run at its address. */
struct AgentIncarnation {
    Address agent;
    uint64_t incarnation = 0; ///< 0 if it is not known.
    bool operator==(const AgentIncarnation&) const = default;
};

/** Asks an agent whether its upstream holds flows that seem to be gone; sent to all agents of the service before the flows are reset. */
struct HoldersQuery {
    uint64_t service = 0; ///< hashText of the service's name.
    AgentIncarnation searcher; ///< Agent that the reply is sent to.
    uint32_t round = 0; ///< Number that the reply repeats; never used twice by a process.
    uint64_t agentsDigest = 0; ///< KnownAgents::digest() of the searcher.
    std::vector<FlowKey> flows; ///< At most maximumFlowsPerHoldersQuery.
    bool operator==(const HoldersQuery&) const = default;
};

/** Answers a HoldersQuery. A flow of the query that is in neither list is not at the responder's upstream. */
struct HoldersReply {
    AgentIncarnation responder;
    uint64_t searcherIncarnation = 0; ///< Of HoldersQuery::searcher: the reply is meant for this process alone.
    uint32_t round = 0; ///< HoldersQuery::round.
    std::vector<FlowKey> held; ///< Flows at the responder's upstream.
    std::vector<FlowKey> uncertain; ///< Flows that the upstream may hold; a packet sent to it tells.
    std::vector<AgentIncarnation> agents; ///< Agents that the responder knows, the latest first; empty if the digests agree. At most maximumAgentsPerHoldersReply.
    bool operator==(const HoldersReply&) const = default;
};

/** Tells an agent that the sender's upstream has ended and that its process ends too: it holds no flow, now or later. */
struct AgentLeft {
    uint64_t service = 0; ///< hashText of the service's name.
    AgentIncarnation sender;
    bool operator==(const AgentLeft&) const = default;
};

/** Any message. The order is part of the wire format: add new kinds at the end only. */
using Message = std::variant<
    FlowPacket,
    ForwardedPacket,
    FlowQuery,
    FlowQueryReply,
    FlowMove,
    FlowMoveReply,
    LoadReport,
    Announce,
    AnnounceReply,
    Gossip,
    DigestExchange,
    StatusRequest,
    StatusReply,
    SnapshotRequest,
    Snapshot,
    OpeningOutcome,
    FlowRegistration,
    FlowRegistrationReply,
    DirectoryQuery,
    DirectoryReply,
    HoldersQuery,
    HoldersReply,
    AgentLeft>;

} // namespace lavender
