/** @file gossip_fleet.h Gossip membership of many balancers over a simulated lossy network in virtual time, for tests and benchmarks. */
#pragma once

#include "core/random_base.h"
#include "member/gossip_base.h"
#include "wire/codec_func.h"

#include <deque>
#include <memory>
#include <vector>

namespace lavender {

/** Membership record of balancer number @p index of a fleet. */
inline MemberRecord balancerRecord(uint32_t index)
{
    return {
        .address = { 0x0a630001 + index, 7000 },
        .role = MemberRole::Balancer,
        .zone = "a",
        .incarnation = 1,
        .version = 1,
        .state = MemberState::Ready,
    };
}

/** Balancers that gossip over a simulated network with packet loss, without delay. All know each other at the start; ticks are 50 ms apart. */
class GossipFleet {
public:
    GossipFleet(uint32_t count, uint32_t lossPartsPerMillion)
        : random(3)
        , loss(lossPartsPerMillion)
    {
        for (uint32_t index = 0; index < count; ++index) {
            this->nodes.push_back(std::make_unique<GossipSystem>(balancerRecord(index), this->random, this->counters));
        }
        for (auto& node : this->nodes) {
            for (uint32_t index = 0; index < count; ++index) {
                const MemberRecord record = balancerRecord(index);
                node->mergeSnapshot(this->now, std::span(&record, 1));
            }
        }
        this->isStopped.resize(count);
    }

    /** Advances virtual time by @p span and ticks the running nodes. */
    void advance(Duration span)
    {
        for (const TimePoint end = this->now + span; this->now < end;) {
            this->now += 50ms;
            Actions actions;
            for (size_t index = 0; index < this->nodes.size(); ++index) {
                if (!this->isStopped[index]) {
                    this->nodes[index]->tick(this->now, {}, actions);
                }
            }
            this->deliver(actions);
        }
    }

    /** Delivers messages and those sent in reply until none is left; lost ones count in bytes too. */
    void deliver(Actions& actions)
    {
        std::deque<Action> inFlight(actions.begin(), actions.end());
        for (; !inFlight.empty(); inFlight.pop_front()) {
            const auto& send = std::get<SendMessage>(inFlight.front());
            this->bytes += encodeMessage(send.message).size();
            const size_t to = send.to.host - 0x0a630001;
            if (this->isPartitioned(send, to)) {
                continue;
            }
            if (to >= this->nodes.size() || this->isStopped[to] || this->random.chance(this->loss)) {
                continue;
            }
            Actions answers;
            if (const auto* gossip = std::get_if<Gossip>(&send.message)) {
                this->nodes[to]->onGossip(this->now, *gossip, {}, answers);
            } else if (const auto* exchange = std::get_if<DigestExchange>(&send.message)) {
                this->nodes[to]->onDigestExchange(this->now, *exchange, answers);
            }
            inFlight.insert(inFlight.end(), answers.begin(), answers.end());
        }
    }

    /** Number of running nodes that see balancer number @p member in state @p liveness. */
    size_t countSeeing(uint32_t member, Liveness liveness) const
    {
        size_t count = 0;
        for (size_t index = 0; index < this->nodes.size(); ++index) {
            const Member* seen = this->nodes[index]->table().find(balancerRecord(member).address);
            count += !this->isStopped[index] && seen != nullptr && seen->record.liveness == liveness ? 1 : 0;
        }
        return count;
    }

    /** True where the partition, if there is one, separates sender and receiver. */
    bool isPartitioned(const SendMessage& send, size_t to) const
    {
        const auto* gossip = std::get_if<Gossip>(&send.message);
        const auto* exchange = std::get_if<DigestExchange>(&send.message);
        if (gossip == nullptr && exchange == nullptr) {
            return false;
        }
        const size_t from = (gossip != nullptr ? gossip->sender : exchange->sender).host - 0x0a630001;
        return (from < this->cutAt) != (to < this->cutAt);
    }

    size_t cutAt = 0; ///< Partition: nodes with a lower index and the others do not reach each other; 0: none.
    TimePoint now { 1s };
    SeededRandom random;
    uint32_t loss; ///< Lost messages, in parts per million.
    Counters counters;
    std::vector<std::unique_ptr<GossipSystem>> nodes;
    std::vector<bool> isStopped; ///< By node: it neither ticks nor receives.
    size_t bytes = 0; ///< Encoded bytes of all messages sent.
};

} // namespace lavender
