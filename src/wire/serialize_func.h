/** @file serialize_func.h cereal functions that read and write each message; included by codec.cpp only. */
#pragma once

#include "wire/exchange_type.h"
#include "wire/message_type.h"

#include <cereal/cereal.hpp>

#include <limits>

namespace lavender {

/** Reads or writes a list after its length in 32 bits. Reading throws if the length exceeds @p limit, before memory is allocated. */
template <typename Archive, typename List>
void transferList(Archive& archive, List& list, size_t limit)
{
    auto count = static_cast<uint32_t>(list.size());
    archive(count);
    if constexpr (Archive::is_loading::value) {
        if (count > limit) {
            throw cereal::Exception("list is longer than its limit");
        }
        list.resize(count);
    }
    if constexpr (sizeof(typename List::value_type) == 1) {
        archive(cereal::binary_data(list.data(), count));
    } else {
        for (auto& entry : list) {
            archive(entry);
        }
    }
}

/** Reads or writes an enum value as one byte. Reading throws if the value is above @p last. */
template <typename Archive, typename Enum>
void transferEnum(Archive& archive, Enum& value, Enum last)
{
    auto number = static_cast<uint8_t>(value);
    archive(number);
    if (Archive::is_loading::value && number > static_cast<uint8_t>(last)) {
        throw cereal::Exception("enum value is out of range");
    }
    value = static_cast<Enum>(number);
}

/** Reads or writes a bool as one byte. Reading throws unless the byte is 0 or 1. */
template <typename Archive>
void transferBool(Archive& archive, bool& value)
{
    uint8_t number = value ? 1 : 0;
    archive(number);
    if (number > 1) {
        throw cereal::Exception("bool is neither 0 nor 1");
    }
    value = number == 1;
}

/** When reading, throws unless @p part is below @p parts and @p parts does not exceed maximumParts. */
template <typename Archive>
void checkPart(const Archive& /*archive*/, uint16_t part, uint16_t parts)
{
    if (Archive::is_loading::value && (parts > maximumParts || part >= parts)) {
        throw cereal::Exception("part index or number of parts is out of range");
    }
}

/** Reads or writes a number in as few bytes as it needs: 7 bits in each, the lowest first. Reading throws if it exceeds 64 bits or has more bytes. */
template <typename Archive>
void transferVarint(Archive& archive, uint64_t& value)
{
    constexpr unsigned bitsPerByte = 7;
    constexpr uint8_t moreFollow = 1U << bitsPerByte;
    if constexpr (Archive::is_loading::value) {
        value = 0;
        uint8_t byte = moreFollow;
        for (unsigned shift = 0; (byte & moreFollow) != 0; shift += bitsPerByte) {
            archive(byte);
            const uint64_t bits = byte & ~moreFollow;
            const bool isPadded = byte == 0 && shift != 0;
            if (isPadded || shift >= 64 || bits << shift >> shift != bits) {
                throw cereal::Exception("number exceeds 64 bits or is padded");
            }
            value |= bits << shift;
        }
    } else {
        uint64_t rest = value;
        for (; rest >= moreFollow; rest >>= bitsPerByte) {
            archive(static_cast<uint8_t>(rest | moreFollow));
        }
        archive(static_cast<uint8_t>(rest));
    }
}

template <typename Archive>
void serialize(Archive& archive, Revision& revision)
{
    transferVarint(archive, revision.version);
    transferVarint(archive, revision.position.era);
    transferVarint(archive, revision.position.number);
}

template <typename Archive>
void serialize(Archive& archive, Address& address) { archive(address.host, address.port); }
template <typename Archive>
void serialize(Archive& archive, FlowKey& flow) { archive(flow.caller, flow.service); }

template <typename Archive>
void serialize(Archive& archive, MemberRecord& record)
{
    archive(record.address);
    transferEnum(archive, record.role, MemberRole::Agent);
    transferList(archive, record.zone, maximumNameBytes);
    transferList(archive, record.service, maximumNameBytes);
    archive(record.incarnation, record.version);
    transferEnum(archive, record.state, MemberState::NoUpstream);
    transferEnum(archive, record.liveness, Liveness::Gone);
    archive(record.slots, record.weight);
}

template <typename Archive>
void serialize(Archive& archive, FlowPacket& packet)
{
    archive(packet.flow);
    transferEnum(archive, packet.mark, PacketMark::Closing);
    transferBool(archive, packet.isToCaller);
    transferList(archive, packet.payload, maximumPayloadBytes);
}

template <typename Archive>
void serialize(Archive& archive, ServiceEntry& entry) { archive(entry.service, entry.agent); }

template <typename Archive>
void serialize(Archive& archive, ForwardedPacket& forwarded)
{
    archive(forwarded.packet, forwarded.service);
    transferList(archive, forwarded.candidates, maximumCandidates);
    archive(forwarded.visited, forwarded.hops);
    transferBool(archive, forwarded.isPlaced);
    archive(forwarded.home, forwarded.balancer, forwarded.searcher);
    transferList(archive, forwarded.otherServices, maximumServiceEntries);
    archive(forwarded.servicePasses, forwarded.rulesRevision);
}

template <typename Archive>
void serialize(Archive& archive, RequestOutcomes& requests)
{
    archive(requests.finished, requests.failed, requests.goodInARow, requests.processingUs);
}

template <typename Archive>
void serialize(Archive& archive, OpeningOutcome& outcome)
{
    archive(outcome.flow, outcome.agent);
    transferEnum(archive, outcome.result, OpeningResult::OtherRules);
    archive(outcome.busy, outcome.slots, outcome.limit, outcome.processingMs, outcome.lastChanceLimit, outcome.requests, outcome.service);
    transferBool(archive, outcome.isOpen);
}

template <typename Archive>
void serialize(Archive& archive, FlowRegistration& registration)
{
    archive(registration.service, registration.owner, registration.incarnation, registration.number);
    transferBool(archive, registration.isComplete);
    transferBool(archive, registration.knowsAllFlows);
    transferList(archive, registration.flows, maximumFlowsPerRegistration);
}

template <typename Archive>
void serialize(Archive& archive, FlowRegistrationReply& reply) { archive(reply.responder, reply.incarnation, reply.number); }
template <typename Archive>
void serialize(Archive& archive, DirectoryQuery& query) { archive(query.service, query.flow, query.searcher); }
template <typename Archive>
void serialize(Archive& archive, DirectoryReply& reply)
{
    archive(reply.flow, reply.responder);
    transferEnum(archive, reply.finding, DirectoryFinding::KeptElsewhere);
    transferList(archive, reply.agents, maximumCandidates);
}

template <typename Archive>
void serialize(Archive& archive, FlowQuery& query) { archive(query.service, query.flow, query.searcher); }
template <typename Archive>
void serialize(Archive& archive, FlowQueryReply& reply)
{
    archive(reply.flow, reply.responder, reply.owner);
    transferBool(archive, reply.mayHoldFlow);
    transferBool(archive, reply.isOtherService);
}

template <typename Archive>
void serialize(Archive& archive, FlowMove& move) { archive(move.service, move.flow, move.from, move.finishedThrough, move.moveCount); }

template <typename Archive>
void serialize(Archive& archive, FlowMoveReply& reply)
{
    archive(reply.flow, reply.responder, reply.moveCount);
    transferBool(archive, reply.isAccepted);
}

template <typename Archive>
void serialize(Archive& archive, LoadReport& report)
{
    archive(report.service, report.agent, report.openFlows, report.inFlight, report.limit);
}

template <typename Archive>
void serialize(Archive& archive, Announce& announce)
{
    archive(announce.record, announce.revision, announce.peersDigest);
}

template <typename Archive>
void serialize(Archive& archive, AnnounceReply& reply)
{
    archive(reply.balancer, reply.revision);
    transferList(archive, reply.peers, maximumRecordsPerDatagram);
    transferList(archive, reply.balancers, maximumCandidates);
    archive(reply.knownIncarnation, reply.knownVersion);
    transferEnum(archive, reply.knownLiveness, Liveness::Gone);
    transferBool(archive, reply.isAnnounceRequest);
}

template <typename Archive>
void serialize(Archive& archive, Gossip& gossip)
{
    archive(gossip.sender, gossip.sequence);
    transferBool(archive, gossip.isReply);
    archive(gossip.revision, gossip.digest);
    transferList(archive, gossip.records, maximumRecordsPerDatagram);
}

template <typename Archive>
void serialize(Archive& archive, DigestExchange& exchange)
{
    archive(exchange.sender);
    transferBool(archive, exchange.isReply);
    transferList(archive, exchange.buckets, digestBuckets);
    transferList(archive, exchange.records, maximumRecordsPerDatagram);
}

template <typename Archive>
void serialize(Archive& archive, StatusRequest& request) { archive(request.nonce); }

template <typename Archive>
void serialize(Archive& archive, StatusReply& reply)
{
    archive(reply.nonce);
    transferList(archive, reply.json, maximumDatagramBytes);
}

template <typename Archive>
void serialize(Archive& archive, AgentIncarnation& process) { archive(process.agent, process.incarnation); }

template <typename Archive>
void serialize(Archive& archive, HoldersQuery& query)
{
    archive(query.service, query.searcher, query.round, query.agentsDigest);
    transferList(archive, query.flows, maximumFlowsPerHoldersQuery);
}

template <typename Archive>
void serialize(Archive& archive, HoldersReply& reply)
{
    archive(reply.responder, reply.searcherIncarnation, reply.round);
    transferList(archive, reply.held, maximumFlowsPerHoldersQuery);
    transferList(archive, reply.uncertain, maximumFlowsPerHoldersQuery);
    transferList(archive, reply.agents, maximumAgentsPerHoldersReply);
}

template <typename Archive>
void serialize(Archive& archive, AgentLeft& left) { archive(left.service, left.sender); }

template <typename Archive>
void serialize(Archive& archive, SnapshotRequest& request)
{
    archive(request.knownRevision);
    transferBool(archive, request.includeMembers);
    archive(request.service);
}

template <typename Archive>
void serialize(Archive& archive, RulesPatch& patch)
{
    archive(patch.base, patch.prefix, patch.suffix);
    transferList(archive, patch.middle, maximumRulesBytes);
    archive(patch.hash);
}

template <typename Archive>
void serialize(Archive& archive, Snapshot& snapshot)
{
    archive(snapshot.revision);
    archive(snapshot.rules);
    transferList(archive, snapshot.members, maximumSnapshotRecords);
}

template <typename Archive>
void serialize(Archive& archive, RequestPart& part)
{
    archive(part.requestId, part.attempt, part.partIndex, part.partCount);
    transferBool(archive, part.isIdempotent);
    archive(part.remainingMs);
    transferList(archive, part.key, maximumKeyBytes);
    transferList(archive, part.body, maximumPartBytes);
    checkPart(archive, part.partIndex, part.partCount);
}

template <typename Archive>
void serialize(Archive& archive, AnswerPart& part)
{
    archive(part.requestId, part.attempt, part.partIndex, part.partCount);
    transferEnum(archive, part.verdict, Verdict::MayHaveRun);
    transferEnum(archive, part.reason, lastVerdictReason);
    archive(part.retryAfterMs);
    transferList(archive, part.body, maximumPartBytes);
    checkPart(archive, part.partIndex, part.partCount);
}

template <typename Archive>
void serialize(Archive& archive, AnswerAck& ack)
{
    archive(ack.requestId);
    transferList(archive, ack.missing, maximumParts);
}

template <typename Archive>
void serialize(Archive& archive, FlowNotice& notice)
{
    transferEnum(archive, notice.event, FlowEvent::Closed);
    transferList(archive, notice.zone, maximumNameBytes);
    archive(notice.retryAfterMs);
    transferList(archive, notice.mayHaveRun, maximumNoticeRequests);
    if (notice.event == FlowEvent::GivenUp) {
        archive(notice.mayHaveRunThrough); // Callers and agents of the earlier version still understand all other notices.
    }
}

} // namespace lavender
