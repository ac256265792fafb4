/** @file steering_test.cpp Bucket tables: few buckets move on a change, weights, zones. Without changes "product" and "naive" both keep a flow at one agent. */
#include "test_network.h"

#include <CppUTest/TestHarness.h>

using namespace lavender;

namespace {

std::vector<BucketMember> makeMembers(uint32_t count)
{
    std::vector<BucketMember> members;
    for (uint32_t index = 0; index < count; ++index) {
        members.push_back({ agentAddress(index), 500, true });
    }
    return members;
}

Address homeOf(const BucketTable& table, uint64_t hash) { return table.members()[table.agentsFor(hash).home].address; }

} // namespace

TEST_GROUP(Steering) {};

TEST(Steering, JoinMovesOnlyBucketsToTheJoiner)
{
    const BucketTable before(makeMembers(7));
    const BucketTable after(makeMembers(8));
    size_t movedBuckets = 0;
    for (uint64_t bucket = 0; bucket < bucketCount; ++bucket) {
        if (homeOf(before, bucket) != homeOf(after, bucket)) {
            CHECK_TRUE(homeOf(after, bucket) == agentAddress(7));
            // The previous home is the second choice, so flows that it owns are found in one hop.
            CHECK_TRUE(after.members()[after.agentsFor(bucket).second].address == homeOf(before, bucket));
            ++movedBuckets;
        }
    }
    CHECK_TRUE(movedBuckets > bucketCount / 16 && movedBuckets < bucketCount / 4);
}

TEST(Steering, DrainMovesOnlyItsOwnBucketsAndStaysInTheList)
{
    const BucketTable before(makeMembers(7));
    std::vector<BucketMember> members = makeMembers(7);
    members[3].isEligible = false;
    const BucketTable after(members);
    for (uint64_t bucket = 0; bucket < bucketCount; ++bucket) {
        if (homeOf(before, bucket) == agentAddress(3)) {
            CHECK_TRUE(after.members()[after.agentsFor(bucket).ranked[0]].address == agentAddress(3));
        } else {
            CHECK_TRUE(homeOf(before, bucket) == homeOf(after, bucket));
        }
    }
}

TEST(Steering, WeightsGiveShares)
{
    std::vector<BucketMember> members = makeMembers(4);
    members[0].weight = 100;
    const BucketTable table(members);
    size_t lightBuckets = 0;
    for (uint64_t bucket = 0; bucket < bucketCount; ++bucket) {
        lightBuckets += homeOf(table, bucket) == agentAddress(0) ? 1 : 0;
    }
    // A weight of 100 out of 1,600 gets 1/16 of the 1,024 buckets; the bounds are three standard deviations away.
    CHECK_TRUE(lightBuckets >= 64 - 24 && lightBuckets <= 64 + 24);
}

TEST(Steering, NothingIsSentIntoAZoneThatIsOut)
{
    const TestView view(0s, { agentRecord(0), agentRecord(1), agentRecord(2), agentRecord(3) }, "zone b out # operator\n");
    for (uint16_t port = 1024; port < 3024; ++port) {
        const ForwardedPacket forwarded = view.route(100s, requestPacket(testFlow(port), 1));
        CHECK_TRUE(std::find(forwarded.candidates.begin(), forwarded.candidates.end(), agentAddress(1)) == forwarded.candidates.end());
    }
}

TEST(Steering, OpeningPassesTheEarlierHomeOnlyWhileViewsSettle)
{
    const TestView view(100s, { agentRecord(0), agentRecord(1), agentRecord(2) });
    for (uint16_t port = 1024; port < 1124; ++port) {
        const FlowPacket packet = openingPacket(testFlow(port));
        CHECK_TRUE(view.route(101s, packet).candidates.front() != view.route(101s, packet).home);
        CHECK_TRUE(view.route(200s, packet).candidates.front() == view.route(200s, packet).home);
    }
}

TEST(Steering, AnnouncementNeedsARule)
{
    MemberRecord unauthorised = agentRecord(0);
    unauthorised.zone = "unknown";
    const TestView view(0s, { unauthorised, agentRecord(1) });
    for (uint16_t port = 1024; port < 1124; ++port) {
        CHECK_TRUE(view.route(100s, openingPacket(testFlow(port))).home == agentAddress(1));
    }
}

TEST(Steering, ProductAndNaiveAgreeWhereNothingChanges)
{
    // Each method sends all packets of a flow to the same eligible agent.
    const std::vector<MemberRecord> records { agentRecord(0), agentRecord(1), agentRecord(2), agentRecord(3, MemberState::Draining) };
    const Configuration configuration = parseRules(testRules()).configuration;
    for (const char* name : { "product", "naive" }) {
        const std::unique_ptr<Steering> steering = makeSteering(name, "");
        steering->updateService(0s, configuration.services[0], configuration, records);
        for (uint16_t port = 1024; port < 2024; ++port) {
            ForwardedPacket first { .packet = openingPacket(testFlow(port)) };
            ForwardedPacket second { .packet = requestPacket(testFlow(port), 1) };
            CHECK_TRUE(steering->selectCandidates(100s, configuration.services[0], first));
            CHECK_TRUE(steering->selectCandidates(200s, configuration.services[0], second));
            CHECK_TRUE(first.candidates.front() == second.candidates.front());
            CHECK_TRUE(first.candidates.front() != agentAddress(3));
        }
    }
}

TEST(Steering, EmptyServiceIsNotRouted)
{
    const TestView view(0s, {});
    ForwardedPacket forwarded { .packet = openingPacket(testFlow()) };
    CHECK_FALSE(view.steering.selectCandidates(0s, view.configuration.services[0], forwarded));
}

TEST_GROUP(PacketSteering) {};

namespace {

/** Six agents, two in each of three zones. */
std::vector<MemberRecord> zonedAgents()
{
    std::vector<MemberRecord> records;
    for (uint16_t index = 0; index < 6; ++index) {
        records.push_back(agentRecord(index));
        records.back().zone = std::string(1, static_cast<char>('a' + index / 2));
    }
    return records;
}

const std::string zonedRules = "service orders at 10.0.0.1:80 # t\nannounce orders in * # t\n";

} // namespace

/** Guards against flows that break in a network partition between zones although the callers' own zone has agents for them. */
TEST(PacketSteering, AgentsOfTheOwnZoneComeFirstAndAllEligibleOnesFollow)
{
    const Configuration configuration = parseRules(zonedRules).configuration;
    PacketSteering steering("b");
    std::vector<MemberRecord> records = zonedAgents();
    records[5].state = MemberState::Draining;
    steering.updateService(0s, configuration.services[0], configuration, records);
    for (uint16_t port = 1024; port < 1124; ++port) {
        ForwardedPacket forwarded { .packet = openingPacket(testFlow(port)) };
        CHECK_TRUE(steering.selectCandidates(1s, configuration.services[0], forwarded));
        CHECK_EQUAL(5, forwarded.candidates.size());
        for (size_t position = 0; position < 2; ++position) {
            CHECK_TRUE(forwarded.candidates[position] == agentAddress(2) || forwarded.candidates[position] == agentAddress(3));
        }
        CHECK_TRUE(std::find(forwarded.candidates.begin(), forwarded.candidates.end(), agentAddress(5)) == forwarded.candidates.end());
    }
}

TEST(PacketSteering, ADrainingZoneGetsNoOpeningAndKeepsItsFlows)
{
    const Configuration configuration = parseRules(zonedRules + "zone b drain # t\n").configuration;
    PacketSteering steering("b");
    steering.updateService(0s, configuration.services[0], configuration, zonedAgents());
    bool hasDrainingCandidate = false;
    for (uint16_t port = 1024; port < 1124; ++port) {
        ForwardedPacket opening { .packet = openingPacket(testFlow(port)) };
        CHECK_TRUE(steering.selectCandidates(1s, configuration.services[0], opening));
        for (Address candidate : opening.candidates) {
            CHECK_TRUE(candidate != agentAddress(2) && candidate != agentAddress(3));
        }
        ForwardedPacket laterPacket { .packet = requestPacket(testFlow(port), 1) };
        CHECK_TRUE(steering.selectCandidates(1s, configuration.services[0], laterPacket));
        hasDrainingCandidate = hasDrainingCandidate
            || std::find(laterPacket.candidates.begin(), laterPacket.candidates.end(), agentAddress(2)) != laterPacket.candidates.end();
    }
    CHECK_TRUE(hasDrainingCandidate);
}
