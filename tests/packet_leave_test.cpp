/** @file packet_leave_test.cpp Agents that stop: which of them leave the membership, and what the other processes conclude from it. */
#include "packet_test.h"

#include "balancer/balancer_base.h"
#include "member/gossip_base.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace lavender;
using namespace lavender::test;

TEST_GROUP(PacketLeave) {};

namespace {

constexpr uint64_t upstreamStart = 500'000; ///< Start of the upstream in PacketScene's reports.

Address balancerAddress(uint32_t index) { return { 0x0A010100 + index, 7000 }; }

/** A reply that makes these balancers known to the agent and confirms its view. */
void knowBalancers(PacketScene& scene, uint32_t count)
{
    AnnounceReply reply { .balancer = balancerAddress(0), .revision = revisionAt(5) };
    for (uint32_t index = 0; index < count; ++index) {
        reply.balancers.push_back(balancerAddress(index));
    }
    scene.agent.onMessage(scene.now, reply, scene.actions);
    scene.advance(50ms);
    scene.actions.clear();
}

/** Announcements among the latest actions of the agent, in order. */
std::vector<Announce> announcements(const PacketScene& scene)
{
    std::vector<Announce> found;
    for (const SendMessage* send : scene.actionsOf<SendMessage>()) {
        if (const auto* announce = std::get_if<Announce>(&send->message)) {
            found.push_back(*announce);
        }
    }
    return found;
}

/** Stops the agent; actions holds only what follows from it. */
void stop(PacketScene& scene)
{
    scene.actions.clear();
    scene.agent.beginStop(scene.now, scene.actions);
}

bool isLeave(const Announce& announce) { return announce.record.liveness == Liveness::Gone; }

} // namespace

/**
 * Guards against an upstream that gets no new flow, and whose open flows its agent denies, since the deregistration of an earlier one
 * at its address came late: most deregistrations state no start time, but each names the upstream.
 */
TEST(PacketLeave, ADeregistrationOfAnotherUpstreamIsDropped)
{
    const auto isEnded = [](std::string_view id, std::optional<uint64_t> started) {
        PacketScene scene;
        scene.agent.onUpstreamDeregistered(scene.now, id, started);
        scene.receive(makePacket(caller(1), packetService, OpeningFlag));
        return scene.outcome() == OpeningResult::Refused;
    };
    CHECK(isEnded("u1", std::nullopt));
    CHECK(isEnded("u1", upstreamStart));
    CHECK(isEnded("u2", upstreamStart + 1)); // A later upstream whose reports were lost.
    CHECK_FALSE(isEnded("u0", std::nullopt));
    CHECK_FALSE(isEnded("u0", upstreamStart));
    CHECK_FALSE(isEnded("u0", upstreamStart - 1));
    CHECK_FALSE(isEnded("u1", upstreamStart - 1)); // An upstream may start again under its id.
}

/** Guards against 5 s in which packets were forwarded to an agent that had ended: it had not announced that it leaves. */
TEST(PacketLeave, AnAgentWhoseUpstreamHasDeregisteredLeavesWhenItStops)
{
    PacketScene scene;
    knowBalancers(scene, 2);
    const uint32_t version = scene.agent.self().version;
    scene.agent.onUpstreamDeregistered(scene.now, "u1", std::nullopt);
    scene.advance(50ms);
    stop(scene);
    const std::vector<Announce> sent = announcements(scene);
    CHECK_EQUAL(2, sent.size());
    CHECK(std::all_of(sent.begin(), sent.end(), isLeave));
    CHECK(sent.front().record.version > version); // Else balancers take it for a claim by others.
}

/** Guards against a reset of open flows: the agent of a living upstream is restarted, and the others take its flows for ended. */
TEST(PacketLeave, AnAgentBesideALivingUpstreamDoesNotLeave)
{
    for (const bool isDraining : { false, true }) {
        PacketScene scene;
        knowBalancers(scene, 2);
        scene.report(2, 2, {}, isDraining);
        scene.open(1);
        stop(scene);
        scene.advance(100ms);
        const std::vector<Announce> sent = announcements(scene);
        CHECK_EQUAL(2, sent.size());
        CHECK(std::none_of(sent.begin(), sent.end(), isLeave));
        CHECK(sent.front().record.state == MemberState::Draining);
    }
}

/** Guards against a reset of open flows: the upstream that serves now is another one than that which deregistered. */
TEST(PacketLeave, AnAgentBesideALaterUpstreamDoesNotLeave)
{
    PacketScene scene;
    knowBalancers(scene, 2);
    scene.agent.onUpstreamDeregistered(scene.now, "u1", upstreamStart);
    scene.report(1, 2, {}, false, "u2", upstreamStart + 100);
    scene.agent.onUpstreamDeregistered(scene.now, "u1", upstreamStart); // Another copy.
    stop(scene);
    const std::vector<Announce> sent = announcements(scene);
    CHECK_EQUAL(2, sent.size());
    CHECK(std::none_of(sent.begin(), sent.end(), isLeave));
}

/** Guards against a leave that is lost with its only datagrams, or whose balancers are down: it is sent again, and to more than two. */
TEST(PacketLeave, ALeaveIsSentAgainAndToMoreBalancersThanAnAnnouncement)
{
    PacketScene scene;
    knowBalancers(scene, 12);
    scene.agent.onUpstreamDeregistered(scene.now, "u1", std::nullopt);
    scene.advance(50ms);
    stop(scene);
    const std::vector<Announce> first = announcements(scene);
    CHECK_EQUAL(8, first.size());
    scene.actions.clear();
    scene.advance(50ms);
    scene.advance(50ms);
    const std::vector<Announce> again = announcements(scene);
    CHECK_EQUAL(8, again.size());
    CHECK(std::all_of(again.begin(), again.end(), isLeave));
    CHECK_EQUAL(first.front().record.version, again.front().record.version);
}

namespace {

/** A balancer without a network: tests give it announcements and read its replies. */
struct BalancerScene {
    platform::PacketCodec codec;
    SeededRandom random { 1 };
    NullEventSink events;
    Balancer balancer;
    TimePoint now = 100s;

    BalancerScene()
        : balancer({ .address = packetBalancer, .zone = "a" }, makeSteering("packets", "a"), this->random)
    {
        this->balancer.enableOpaquePackets(this->codec, this->events);
        CHECK(this->balancer.onConfiguration(this->now, { .revision = revisionAt(5), .text = packetRules }).ok());
    }

    /** Advances the clock and runs one tick. @return What the balancer sends. */
    Actions advance(Duration span)
    {
        this->now += span;
        Actions actions;
        this->balancer.tick(this->now, actions);
        return actions;
    }

    /** Gives the balancer an announcement. @return Its replies. */
    std::vector<AnnounceReply> announce(const MemberRecord& record, uint64_t peersDigest = 0)
    {
        Actions actions;
        this->balancer.onMessage(this->now, Announce { .record = record, .peersDigest = peersDigest }, actions);
        std::vector<AnnounceReply> replies;
        for (const Action& action : actions) {
            replies.push_back(std::get<AnnounceReply>(std::get<SendMessage>(action).message));
        }
        return replies;
    }

    Liveness liveness(Address agent) const { return this->balancer.gossip().table().find(agent)->record.liveness; }

    /** Candidates that the balancer names for a packet of an open flow. */
    std::vector<Address> candidates()
    {
        Actions actions;
        this->balancer.onCallerPacket(this->now, { .flow = { caller(1), packetService }, .payload = makePacket(caller(1), packetService, AcknowledgingFlag, 1, 1) }, actions);
        std::vector<Address> found;
        for (const Action& action : actions) {
            found = std::get<ForwardedPacket>(std::get<SendMessage>(action).message).candidates;
        }
        return found;
    }
};

MemberRecord agentRecord(uint32_t host, uint64_t incarnation = 1'000)
{
    return { .address = { host, 7000 }, .role = MemberRole::Agent, .zone = "a", .service = "orders", .incarnation = incarnation, .version = 1, .state = MemberState::Ready, .slots = 2, .weight = 200 };
}

MemberRecord leaveRecord(MemberRecord record)
{
    record.version += 2; // The state of an agent that stops, and the leave.
    record.liveness = Liveness::Gone;
    return record;
}

} // namespace

/** Guards against packets that a balancer still forwards along an agent that has announced its leave. */
TEST(PacketLeave, AnAgentThatLeftIsNoCandidateFromTheNextTickOn)
{
    BalancerScene scene;
    scene.announce(agentRecord(3));
    scene.announce(agentRecord(4));
    (void)scene.advance(50ms);
    CHECK_EQUAL(2, scene.candidates().size());
    scene.announce(leaveRecord(agentRecord(3)));
    (void)scene.advance(50ms);
    const std::vector<Address> left = scene.candidates();
    CHECK_EQUAL(1, left.size());
    CHECK(left.front() == agentRecord(4).address);
}

/** Guards against agents that learn of another one's leave only by the failure detection: the reply to their next announcement tells it. */
TEST(PacketLeave, TheNextReplyTellsAnotherAgentOfTheLeave)
{
    BalancerScene scene;
    const std::vector<MemberRecord> both = { agentRecord(3), agentRecord(4) };
    scene.announce(both[0]);
    scene.announce(both[1]);
    CHECK(scene.announce(both[1], digestRecords(both)).front().peers.empty());
    scene.announce(leaveRecord(both[0]));
    const AnnounceReply reply = scene.announce(both[1], digestRecords(both)).front();
    CHECK(std::any_of(reply.peers.begin(), reply.peers.end(), [](const MemberRecord& record) {
        return record.address == agentRecord(3).address && record.liveness == Liveness::Gone;
    }));
}

/** Guards against an agent that stays gone after its leave: its address is used again, also after the time of day was set back. */
TEST(PacketLeave, ALaterProcessAtTheAddressOfAnAgentThatLeftIsAlive)
{
    BalancerScene scene;
    scene.announce(agentRecord(3));
    const MemberRecord leave = leaveRecord(agentRecord(3));
    scene.announce(leave);
    scene.announce(agentRecord(3, 2'000));
    CHECK(scene.liveness(leave.address) == Liveness::Alive);
    scene.announce(leave); // A late copy.
    CHECK(scene.liveness(leave.address) == Liveness::Alive);

    MemberRecord secondLeave = leaveRecord(agentRecord(3, 2'000));
    scene.announce(secondLeave);
    PeerSystem earlierClock(agentRecord(3, 500), scene.random);
    Actions actions;
    earlierClock.onReply(scene.now, scene.announce(earlierClock.self()).front(), actions);
    CHECK(earlierClock.self().version > secondLeave.version);
    scene.announce(earlierClock.self());
    CHECK(scene.liveness(leave.address) == Liveness::Alive);
    scene.announce(secondLeave); // A late copy.
    CHECK(scene.liveness(leave.address) == Liveness::Alive);
}

namespace {

/** An agent with a synchronized view that knows agent 3 and agent 4. */
struct SearchScene : PacketScene {
    explicit SearchScene(MemberState stateOfAgent4)
    {
        this->agent4.state = stateOfAgent4;
        this->receivePeers({ agentRecord(3), this->agent4 });
        this->receivePeers({});
        this->advance(3s);
        CHECK(this->report(2));
    }

    /** Gives the agent a balancer's reply; without peers it confirms that the agent's view is complete. */
    void receivePeers(std::vector<MemberRecord> peers)
    {
        this->agent.onMessage(this->now, AnnounceReply { .balancer = packetBalancer, .revision = revisionAt(5), .peers = std::move(peers) }, this->actions);
    }

    /** Searches for the flow of a caller that agent 3 denies in both rounds. @return Whether the caller gets a reset. */
    bool isUnknownFlowReset(uint16_t port)
    {
        const FlowKey flow { caller(port), packetService };
        Bytes packet = makePacket(caller(port), packetService, AcknowledgingFlag, 1, 77, 20);
        this->receive(packet);
        packet[8] |= ReturnedFlag;
        this->fromUpstream(packet); // The packet goes to all agents that are not gone, and then a search begins.
        packet[8] &= static_cast<uint8_t>(~ReturnedFlag);
        ForwardedPacket forwarded = this->forwarded(packet);
        forwarded.candidates = { { 3, 7000 }, { 4, 7000 } };
        forwarded.visited = 3;
        this->agent.onMessage(this->now, forwarded, this->actions);
        CHECK_EQUAL(1, this->agent.counters().get(Counter::Searches));
        for (int round = 0; round < 2; ++round) {
            this->agent.onMessage(this->now, FlowQueryReply { flow, { 3, 7000 }, {} }, this->actions);
            this->advance(100ms);
            this->receivePeers({});
            this->advance(300ms);
        }
        return !this->actionsOf<SendToCaller>().empty();
    }

    MemberRecord agent4 = agentRecord(4);
};

} // namespace

/**
 * Guards against a reset of open flows: an agent is stopped beside its living upstream and needs longer to start again than the
 * failure detection takes, or it is lost while its upstream drains; its state "draining" was taken for an announced leave.
 */
TEST(PacketLeave, FlowsOfADrainingAgentThatWasLostAreNotReset)
{
    SearchScene scene(MemberState::Draining);
    scene.agent4.liveness = Liveness::Gone; // The version is the agent's own: the failure detection says this, not the agent.
    scene.receivePeers({ scene.agent4 });
    scene.receivePeers({});
    CHECK_FALSE(scene.isUnknownFlowReset(9));
}

/** Guards against callers that wait for a reset: the flows of an agent that left have ended, whether or not its upstream had drained. */
TEST(PacketLeave, FlowsOfAnAgentThatLeftAreReset)
{
    for (const MemberState state : { MemberState::Ready, MemberState::Draining }) {
        SearchScene scene(state);
        PeerSystem leaving(scene.agent4, scene.random);
        Actions actions;
        leaving.leave(scene.now, revisionAt(5), actions);
        scene.receivePeers({ leaving.self() });
        scene.receivePeers({});
        CHECK(scene.isUnknownFlowReset(9));
    }
}

/** Guards against a balancer that takes a leave for a heartbeat and asks an ended agent for announcements at each new revision of the rules. */
TEST(PacketLeave, AnAgentThatLeftIsNotWatched)
{
    BalancerScene scene;
    scene.announce(agentRecord(3));
    CHECK_EQUAL(1, scene.balancer.gossip().watchedAgents().size());
    scene.announce(leaveRecord(agentRecord(3)));
    CHECK(scene.balancer.gossip().watchedAgents().empty());
}

/** An upstream that drained when its instance lost power ended without a word; its agent stayed a member and was asked in vain for 5 s. */
TEST(PacketLeave, AnAgentWhoseUpstreamHasNoListenerLeaves)
{
    PacketScene ended;
    ended.agent.onUpstreamEnded();
    ended.agent.beginStop(ended.now, ended.actions);
    CHECK_TRUE(ended.agent.hasLeft());

    PacketScene started; // Another upstream has started since.
    started.agent.onUpstreamEnded();
    started.fromUpstream(makePacket(packetService, caller(1), AcknowledgingFlag, 1001, 1, 10));
    started.agent.beginStop(started.now, started.actions);
    CHECK_FALSE(started.agent.hasLeft());
}

/**
 * Guards against resets of flows that are open: on a busy machine two agents answered an offer after 63 and 106 ms, and the first of them
 * had accepted it when the caller was reset. An agent that refuses may be told from one that is late.
 */
TEST(PacketLeave, AnOpeningThatALateAgentMayHaveAcceptedIsNotReset)
{
    for (const bool isLate : { true, false }) {
        BalancerScene scene;
        const MemberRecord record { .address = { 0x0A010002, 7000 }, .role = MemberRole::Agent, .zone = "a", .service = "orders", .incarnation = 1, .version = 1, .state = MemberState::Ready, .slots = 2, .weight = 200 };
        (void)scene.announce(record);
        (void)scene.advance(50ms);
        (void)scene.advance(2s); // Agents have become known.
        (void)scene.announce(record);
        Actions actions;
        const FlowKey flow { caller(1), packetService };
        scene.balancer.onMessage(scene.now, FlowPacket { .flow = flow, .mark = PacketMark::Opening, .payload = makePacket(caller(1), packetService, OpeningFlag) }, actions);
        CHECK_EQUAL(1, actions.size());
        if (isLate) {
            actions = scene.advance(70ms);
        } else {
            scene.balancer.onMessage(scene.now, OpeningOutcome { .flow = flow, .agent = record.address, .result = OpeningResult::Refused }, actions);
        }
        const auto resets = std::count_if(actions.begin(), actions.end(), [](const Action& action) { return std::holds_alternative<SendToCaller>(action); });
        CHECK_EQUAL(isLate ? 0 : 1, resets);
    }
}
