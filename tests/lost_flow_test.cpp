/** @file lost_flow_test.cpp A flow whose upstream lives is not reset, whatever the other agents have heard of it and of each other. */
#include "packet_network.h"

#include <CppUTest/TestHarness.h>

using namespace lavender;
using namespace lavender::test;

namespace {

constexpr uint16_t flowCount = 90; ///< Enough that some have any two of eight agents as their directory agents.
/** The upstreams have started with their agents, which know all flows therefore. */
const PacketNetworkOptions withDirectory {
    .hasFlowDirectory = true,
    .upstreamsStarted = 1'000'000,
    .rules = "service orders connections 100 warmup 2000 # t\nroute 198.18.0.1:443 to orders # t\nannounce orders in * # t\n",
    .firstColdLeft = 2s,
};

/** Packets of the flows with ports 1 to flowCount arrive at agent @p first. */
void sendAll(PacketNetwork& network, uint32_t owner, uint32_t first)
{
    for (uint16_t port = 1; port <= flowCount; ++port) {
        network.send(first, makePacket(caller(port), packetService, AcknowledgingFlag, 1, PacketNetwork::initialSequence(owner) + 1, 20), { packetAgent(first) });
    }
}

/** Opens flows at an agent; packets of them then arrive at agent @p first. All have to reach the upstream, and none may be reset. */
void checkFlowsStay(PacketNetwork& network, uint32_t owner, uint32_t first)
{
    network.nodes[owner].deliveries = 0;
    sendAll(network, owner, first);
    network.advance(400ms);
    CHECK_EQUAL(0, network.resets);
    CHECK_TRUE(network.nodes[owner].deliveries >= flowCount);
}

void openAll(PacketNetwork& network, uint32_t owner)
{
    for (uint16_t port = 1; port <= flowCount; ++port) {
        network.open(owner, port);
    }
}

/** Opens flows at an agent while agents 6 and 7 are cut off; then the cut ends. */
void openDuringCut(PacketNetwork& network, uint32_t owner)
{
    network.advance(5s);
    network.cutOff = { 6, 7 };
    network.advance(500ms);
    openAll(network, owner);
    network.advance(3s);
    network.cutOff.clear();
}

} // namespace

TEST_GROUP(LostFlow) {};

/** Incident of agents nobody had heard of: both directory agents of a flow are new, and whoever gets its packet asks others. */
TEST(LostFlow, AFlowOfAgentsThatOthersHaveNotHeardOfIsNotReset)
{
    PacketNetwork network(6, withDirectory);
    network.advance(5s);
    const std::array<uint32_t, 2> added { network.add(), network.add() };
    for (uint32_t index : added) {
        network.start(index);
    }
    network.advance(100ms);
    openAll(network, added[0]);
    checkFlowsStay(network, added[0], 0);
}

/** Incident of the late upstream: its agent had announced that it has none, and the others have not heard yet that it has one now. */
TEST(LostFlow, AFlowOfAnUpstreamThatCameLateIsNotReset)
{
    PacketNetwork network(8, withDirectory);
    network.advance(5s);
    network.announceState(5, MemberState::NoUpstream);
    network.advance(100ms);
    openAll(network, 5);
    checkFlowsStay(network, 5, 0);
    CHECK_EQUAL(0, network.nodes[0].agent->counters().get(Counter::HolderRounds)); // The directory names the owner.
}

/**
 * Incident of the upgrade: agents of an earlier build take the flows of an agent that has stated that it has no upstream for void until balancers
 * tell them otherwise, so an agent whose upstream may only be late does not state it.
 */
TEST(LostFlow, AnAgentWhoseUpstreamIsLateDoesNotStateThatItHasNone)
{
    PacketNetwork network(6, withDirectory);
    const uint32_t added = network.add();
    network.nodes[added].isUpstreamRunning = false;
    network.start(added);
    network.advance(4s);
    const MemberRecord& record = network.nodes[added].agent->self();
    CHECK_TRUE(record.state != MemberState::NoUpstream);
    CHECK_FALSE(isEligible(record)); // Balancers offer it no flow meanwhile.
}

/** Incident of the healed cut: both directory agents of a flow were cut off when it was opened, and have not heard of it yet. */
TEST(LostFlow, AFlowThatWasOpenedWhileItsDirectoryAgentsWereCutOffIsNotReset)
{
    PacketNetwork network(8, withDirectory);
    openDuringCut(network, 5);
    checkFlowsStay(network, 5, 0);
}

/** After a cut the directory is right again as soon as its agents are heard from, not when the next slow repeat is due. */
TEST(LostFlow, RegistrationsThatACutHeldUpArriveOnceTheDirectoryAgentIsHeardFrom)
{
    PacketNetwork network(8, withDirectory);
    openDuringCut(network, 5);
    for (uint32_t index : { 6U, 7U }) {
        const auto unknownPort = static_cast<uint16_t>(1000 + index);
        network.send(index, makePacket(caller(unknownPort), packetService, AcknowledgingFlag, 1, 5000, 20), { packetAgent(index) });
    }
    network.advance(50ms);
    network.resets = 0; // Of the two unknown flows.
    checkFlowsStay(network, 5, 0);
    CHECK_EQUAL(0, network.nodes[0].agent->counters().get(Counter::HolderRounds));
}

/** An agent that the searcher hears of while a round runs has to answer this round too, whoever names it. */
TEST(LostFlow, ARoundWaitsForAgentsThatBecomeKnownWhileItRuns)
{
    const FlowKey flow { caller(1), packetService };
    const auto process = [](uint32_t index) { return AgentIncarnation { packetAgent(index), 1'000'000 }; };
    MemberTable table;
    (void)table.merge(1s, packetAgentRecord(1));
    const DirectoryMembers members;
    KnownAgents known(process(0));
    known.update(1s, table, members);
    HolderCheck check(1, process(0));
    Actions actions;
    CHECK_TRUE(check.begin(1s, flow));
    CHECK_TRUE(check.beginRound(1s, known, actions).empty());
    known.onMessageFrom(1s, process(2));
    known.update(1s, table, members);
    const auto reply = [&](uint32_t responder, std::vector<AgentIncarnation> agents) {
        return HoldersReply { .responder = process(responder), .searcherIncarnation = 1'000'000, .round = 1, .agents = std::move(agents) };
    };
    CHECK_TRUE(check.onReply(1s, reply(1, { process(2) }), known, actions).empty());
    CHECK_TRUE(check.onReply(1s, reply(2, { process(3) }), known, actions).empty());
    const std::vector<HolderFinding> findings = check.onReply(1s, reply(3, {}), known, actions);
    CHECK_EQUAL(1, findings.size());
    CHECK_TRUE(findings[0].verdict == HolderFinding::Verdict::Denied);
}

/** An agent that reaches no other is known to them by balancers only, and these name it within a second after they have heard of it, not after its start. */
TEST(LostFlow, AnAgentThatBalancersHeardOfLateTakesNoFlowBeforeTheyHaveNamedIt)
{
    PacketNetwork network(6, withDirectory);
    const uint32_t added = network.add();
    network.cutOff = { added };
    network.start(added, {});
    network.advance(900ms);
    network.announceRunning(); // Tells it of the others.
    network.announceRunning(); // Confirms its view.
    network.advance(200ms);
    network.send(added, makePacket(caller(1), packetService, OpeningFlag), { packetAgent(added) });
    CHECK_EQUAL(0, network.nodes[added].deliveries);
    network.advance(900ms);
    network.send(added, makePacket(caller(2), packetService, OpeningFlag), { packetAgent(added) });
    CHECK_EQUAL(1, network.nodes[added].deliveries);
}

/** An agent that balancers have found gone may live, and a slow or resumed one answers late: its flows are not reset before that. */
TEST(LostFlow, AFlowOfAnAgentThatWasFoundGoneIsNotResetWhileItsAnswerIsOnItsWay)
{
    PacketNetwork network(8, withDirectory);
    openAll(network, 5);
    network.advance(1s);
    network.cutOff = { 5 };
    network.announceLiveness(5, Liveness::Gone);
    network.advance(6s); // The directory no longer lists it as an owner.
    sendAll(network, 5, 0);
    network.advance(250ms);
    network.cutOff.clear();
    checkFlowsStay(network, 5, 0);
}

/** A searcher that was suspended during a round has not read the answers yet: its own pause is not an agent's silence. */
TEST(LostFlow, APauseOfTheSearcherDoesNotEndARound)
{
    const FlowKey flow { caller(1), packetService };
    const AgentIncarnation self { packetAgent(0), 1'000'000 };
    const AgentIncarnation owner { packetAgent(1), 1'000'000 };
    MemberTable table;
    (void)table.merge(1s, packetAgentRecord(1));
    CHECK_TRUE(table.markLiveness(1s, owner.agent, Liveness::Gone));
    KnownAgents known(self);
    known.update(1s, table, {});
    HolderCheck check(1, self);
    Actions actions;
    CHECK_TRUE(check.begin(1s, flow));
    CHECK_TRUE(check.beginRound(1s, known, actions).empty());
    CHECK_TRUE(check.tick(2s, known, actions).empty());
    const std::vector<HolderFinding> findings = check.onReply(2s, { .responder = owner, .searcherIncarnation = self.incarnation, .round = 1, .held = { flow } }, known, actions);
    CHECK_EQUAL(1, findings.size());
    CHECK_TRUE(findings[0].verdict == HolderFinding::Verdict::Held);
}

/** Whoever asks all agents hears of a new one only if some agent knows it: until then it takes no flow. */
TEST(LostFlow, AnAgentTakesNoFlowBeforeOthersKnowOfIt)
{
    PacketNetwork network(6, withDirectory);
    const uint32_t added = network.add();
    network.cutOff = { added };
    network.start(added);
    network.advance(100ms);
    network.send(added, makePacket(caller(1), packetService, OpeningFlag), { packetAgent(added) });
    CHECK_EQUAL(0, network.nodes[added].deliveries);
    network.cutOff.clear();
    network.advance(100ms);
    CHECK_EQUAL(1, network.nodes[added].deliveries);
}

/** A caller that uses a port again opens another flow: an agent that still lists the former one must not answer for it. */
TEST(LostFlow, AFlowFromAPortThatIsUsedAgainIsNotResetByItsFormerOwner)
{
    PacketNetwork network(12, withDirectory);
    openAll(network, 0);
    network.advance(1s);
    network.nodes[0].flows.clear(); // The upstream has dropped them.
    openAll(network, 11);
    checkFlowsStay(network, 11, 0);
}

/**
 * Cuts, restarts, new agents, late upstreams and lost messages in any order, and packets at any agent: no flow whose upstream lives is reset. Each new
 * agent is named by balancers a little later.
 */
TEST(LostFlow, NoHistoryOfCutsRestartsAndNewAgentsResetsALivingFlow)
{
    constexpr uint32_t size = 8;
    constexpr int steps = 30;
    const auto holds = [](uint32_t seed) {
        SeededRandom random(seed);
        PacketNetwork network(size, withDirectory);
        network.advance(3500ms);
        network.lossPercent = 3;
        network.doUpstreamsAnswer = true;
        std::vector<std::pair<uint32_t, uint16_t>> flows; // Owner and port.
        std::vector<uint32_t> unannounced; // New agents that balancers have not named yet.
        uint32_t count = size;
        for (int step = 0; step < steps; ++step) {
            const uint32_t agent = random.below(count);
            switch (random.below(8)) {
            case 0:
                network.restart(agent);
                break;
            case 1:
                network.cutOff = { agent, random.below(count) };
                break;
            case 2:
                network.cutOff.clear();
                break;
            case 3:
                network.announceState(agent, MemberState::NoUpstream);
                break;
            case 4:
                network.start(network.add());
                unannounced.push_back(count++);
                break;
            default:
                for (int opened = 0; opened < 5; ++opened) {
                    const auto port = static_cast<uint16_t>(flows.size() + 1);
                    network.open(agent, port);
                    flows.emplace_back(agent, port);
                }
            }
            network.advance(50ms * (1 + random.below(8)));
            for (; !unannounced.empty() && random.below(2) == 0; unannounced.pop_back()) {
                network.announce(unannounced.back());
            }
            for (int packet = 0; packet < 10 && !flows.empty(); ++packet) {
                const auto [owner, port] = flows[random.below(static_cast<uint32_t>(flows.size()))];
                const uint32_t first = random.below(count);
                network.send(first, makePacket(caller(port), packetService, AcknowledgingFlag, 1, PacketNetwork::initialSequence(owner) + 1, 20), { packetAgent(first) });
            }
        }
        network.advance(1s);
        return network.resets == 0;
    };
    for (uint32_t seed = 1; seed <= 100; ++seed) {
        CHECK_TRUE_TEXT(holds(seed), std::to_string(seed).c_str());
    }
}
