/** @file gossip_test.cpp Membership: merging, suspicion, refutation, spread. */
#include "core/random_base.h"
#include "member/gossip_base.h"
#include "wire/codec_func.h"

#include <rapidcheck.h>

#include <deque>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace lavender;

namespace {

MemberRecord balancerRecord(uint32_t index) { return { .address = { 0x0a630001 + index, 7000 }, .role = MemberRole::Balancer, .zone = "a", .incarnation = 1, .version = 1, .state = MemberState::Ready }; }

/** Balancers that gossip over a lossy carrier in 50 ms steps. */
class Fleet {
public:
    Fleet(uint32_t count, uint32_t lossPartsPerMillion)
        : random(3)
        , loss(lossPartsPerMillion)
    {
        for (uint32_t index = 0; index < count; ++index) {
            this->nodes.push_back(std::make_unique<GossipSystem>(balancerRecord(index), this->random, this->counters));
        }
        for (auto& node : this->nodes) {
            for (uint32_t index = 0; index < count; ++index) {
                node->learn(this->now, balancerRecord(index));
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

    TimePoint now { 1s };
    SeededRandom random;
    uint32_t loss;
    Counters counters;
    std::vector<std::unique_ptr<GossipSystem>> nodes;
    std::vector<bool> isStopped;
    size_t bytes = 0;
};

} // namespace

TEST_GROUP(Gossip) {};

TEST(Gossip, MergeIsTheSameInAnyOrder)
{
    CHECK_TRUE(rc::check("merge commutes", [] {
        const auto records = *rc::gen::container<std::vector<MemberRecord>>(rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(1, 3), rc::gen::inRange(1, 4), rc::gen::inRange(0, 3)), [](const std::tuple<int, int, int, int>& choice) {
            MemberRecord record = balancerRecord(static_cast<uint32_t>(std::get<0>(choice)));
            record.incarnation = static_cast<uint64_t>(std::get<1>(choice));
            record.version = static_cast<uint32_t>(std::get<2>(choice));
            record.liveness = static_cast<Liveness>(std::get<3>(choice));
            return record;
        }));
        MemberTable forward;
        MemberTable backward;
        for (size_t index = 0; index < records.size(); ++index) {
            forward.merge(1s, records[index]);
            backward.merge(1s, records[records.size() - 1 - index]);
        }
        RC_ASSERT(forward.digest() == backward.digest());
        for (const auto& [address, member] : forward.all()) {
            RC_ASSERT(backward.find(address)->record == member.record);
        }
    }));
}

TEST(Gossip, ChangeReachesEveryoneDespiteLoss)
{
    Fleet fleet(100, 50'000);
    MemberRecord agent { .address = { 0x0a620001, 7000 }, .role = MemberRole::Agent, .zone = "b", .service = "orders", .incarnation = 1, .version = 1 };
    fleet.nodes[0]->learn(fleet.now, agent);
    fleet.advance(4s);
    for (const auto& node : fleet.nodes) {
        CHECK_TRUE(node->table().find(agent.address) != nullptr);
    }
}

TEST(Gossip, DeadBalancerIsKnownToAllWithinFiveSeconds)
{
    Fleet fleet(50, 50'000);
    fleet.advance(5s);
    fleet.isStopped[7] = true;
    fleet.advance(5s);
    CHECK_EQUAL(49U, fleet.countSeeing(7, Liveness::Gone));
}

TEST(Gossip, LiveBalancerIsNotDeclaredDeadUnderLoss)
{
    Fleet fleet(50, 50'000);
    fleet.advance(120s);
    for (uint32_t index = 0; index < 50; ++index) {
        CHECK_EQUAL(0U, fleet.countSeeing(index, Liveness::Gone));
    }
}

TEST(Gossip, PausedBalancerComesBackAndAccusesNobody)
{
    Fleet fleet(20, 0);
    fleet.advance(5s);
    fleet.isStopped[3] = true;
    fleet.advance(30s);
    CHECK_EQUAL(19U, fleet.countSeeing(3, Liveness::Gone));
    fleet.isStopped[3] = false;
    fleet.advance(5s);
    CHECK_EQUAL(20U, fleet.countSeeing(3, Liveness::Alive));
    for (uint32_t index = 0; index < 20; ++index) {
        CHECK_EQUAL(20U, fleet.countSeeing(index, Liveness::Alive));
    }
}

TEST(Gossip, TablesMeetAgainAfterNewsWasMissed)
{
    Fleet fleet(10, 0);
    fleet.advance(2s);
    // One node hears nothing while the others spread a change to its end.
    fleet.isStopped[9] = true;
    MemberRecord agent { .address = { 0x0a620001, 7000 }, .role = MemberRole::Agent, .zone = "b", .service = "orders", .incarnation = 1, .version = 1 };
    fleet.nodes[0]->learn(fleet.now, agent);
    for (int second = 0; second < 30; ++second) {
        for (auto& node : fleet.nodes) {
            node->onHeartbeat(fleet.now, agent.address); // The agent lives.
        }
        fleet.isStopped[9] = second < 20;
        fleet.advance(1s);
    }
    CHECK_TRUE(fleet.nodes[9]->table().find(agent.address) != nullptr);
}

TEST(Gossip, FarewellSpreads)
{
    Fleet fleet(20, 0);
    fleet.advance(2s);
    Actions actions;
    fleet.nodes[4]->leave(fleet.now, 0, actions);
    fleet.deliver(actions);
    fleet.isStopped[4] = true;
    fleet.advance(2s);
    CHECK_EQUAL(19U, fleet.countSeeing(4, Liveness::Gone));
}

TEST(Gossip, AgentsOfALostZoneAreDeclaredGone)
{
    Fleet fleet(10, 0);
    MemberRecord agent { .address = { 0x0a620001, 7000 }, .role = MemberRole::Agent, .zone = "lost", .service = "orders", .incarnation = 1, .version = 1 };
    fleet.nodes[0]->learn(fleet.now, agent);
    fleet.advance(20s);
    for (const auto& node : fleet.nodes) {
        CHECK_TRUE(node->table().find(agent.address)->record.liveness == Liveness::Gone);
    }
}

TEST(Gossip, SteadyTrafficDoesNotGrowWithTheFleet)
{
    const auto bytesPerNodeSecond = [](uint32_t count) {
        Fleet fleet(count, 0);
        fleet.advance(20s);
        fleet.bytes = 0;
        fleet.advance(10s);
        return fleet.bytes / count / 10;
    };
    const size_t small = bytesPerNodeSecond(10);
    const size_t large = bytesPerNodeSecond(80);
    CHECK_TRUE(large <= small + small / 10);
    CHECK_TRUE(2 * large <= 4096); // Sent and received.
}
