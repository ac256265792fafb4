/** @file gossip_fleet.h Many balancers' membership over a lossy carrier in virtual time, for tests and benchmarks. */
#pragma once

#include "core/random_base.h"
#include "member/gossip_base.h"
#include "wire/codec_func.h"

#include <deque>
#include <memory>
#include <vector>

namespace lavender {

/** Record of balancer number @p index of a fleet. */
inline MemberRecord balancerRecord(uint32_t index)
{
    return { .address = { 0x0a630001 + index, 7000 }, .role = MemberRole::Balancer, .zone = "a", .incarnation = 1, .version = 1, .state = MemberState::Ready };
}

/** Balancers that gossip over a lossy carrier in 50 ms steps. */
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
                node->absorb(this->now, std::span(&record, 1));
            }
        }
        this->isStopped.resize(count);
    }

    void advance(Duration span)
    {
        for (const TimePoint end = this->now + span; this->now < end;) {
            this->now += 50ms;
            Actions actions;
            for (size_t index = 0; index < this->nodes.size(); ++index) {
                if (!this->isStopped[index]) {
                    this->nodes[index]->tick(this->now, 0, actions);
                }
            }
            this->deliver(actions);
        }
    }

    void deliver(Actions& actions)
    {
        std::deque<Action> waiting(actions.begin(), actions.end());
        for (; !waiting.empty(); waiting.pop_front()) {
            const auto& send = std::get<SendMessage>(waiting.front());
            this->bytes += encodeMessage(send.message).size();
            const size_t to = send.to.host - 0x0a630001;
            if (this->isCut(send, to)) {
                continue;
            }
            if (to >= this->nodes.size() || this->isStopped[to] || this->random.chance(this->loss)) {
                continue;
            }
            Actions answers;
            if (const auto* gossip = std::get_if<Gossip>(&send.message)) {
                this->nodes[to]->onGossip(this->now, *gossip, 0, answers);
            } else if (const auto* exchange = std::get_if<DigestExchange>(&send.message)) {
                this->nodes[to]->onDigestExchange(this->now, *exchange, answers);
            }
            waiting.insert(waiting.end(), answers.begin(), answers.end());
        }
    }

    size_t countSeeing(uint32_t member, Liveness liveness) const
    {
        size_t count = 0;
        for (size_t index = 0; index < this->nodes.size(); ++index) {
            const Member* seen = this->nodes[index]->table().find(balancerRecord(member).address);
            count += !this->isStopped[index] && seen != nullptr && seen->record.liveness == liveness ? 1 : 0;
        }
        return count;
    }

    /** True where the cut, if there is one, lies between sender and receiver. */
    bool isCut(const SendMessage& send, size_t to) const
    {
        const auto* gossip = std::get_if<Gossip>(&send.message);
        const auto* exchange = std::get_if<DigestExchange>(&send.message);
        if (gossip == nullptr && exchange == nullptr) {
            return false;
        }
        const size_t from = (gossip != nullptr ? gossip->sender : exchange->sender).host - 0x0a630001;
        return (from < this->cutAt) != (to < this->cutAt);
    }

    size_t cutAt = 0; ///< Nodes below it do not reach the others; 0: no cut.
    TimePoint now { 1s };
    SeededRandom random;
    uint32_t loss;
    Counters counters;
    std::vector<std::unique_ptr<GossipSystem>> nodes;
    std::vector<bool> isStopped;
    size_t bytes = 0;
};

} // namespace lavender
