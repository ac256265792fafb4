/** @file capacity_bench.cpp Slopes at two or more sizes, worked out at the target: docs/CAPACITY.md quotes them. */
#include "bench_type.h"

#include "agent/agent_base.h"
#include "balancer/balancer_base.h"
#include "config/rule_func.h"
#include "core/hash_func.h"
#include "core/text_func.h"
#include "replay/gossip_fleet.h"

#include <malloc.h>

#include <chrono>
#include <functional>

namespace lavender {

namespace {

    constexpr double targetNodes = 1800;
    constexpr double targetEndpoints = 18'000;
    constexpr double targetServices = 1500;
    constexpr double targetReplacementsPerSecond = 4100.0 / 86'400;
    constexpr double targetChangesPerSecond = 1200.0 / 86'400;
    constexpr double versionsPerReplacement = 8; ///< Announcements of one replaced agent: start, steps of its ramp, drain, gone.
    constexpr double megabyte = 1 << 20;

    double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

    double secondsOf(const std::function<void()>& function)
    {
        const auto begin = std::chrono::steady_clock::now();
        function();
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    }

    MemberRecord agentRecordOf(uint32_t index, uint32_t services)
    {
        return { .address = { 0x0a000000 + index, 7000 }, .role = MemberRole::Agent, .zone = concat("zone-", index % 15), .service = concat("service-", index % services), .incarnation = 1, .version = 1, .state = MemberState::Ready, .slots = 5, .weight = 500 };
    }

    std::string rulesFor(uint32_t services)
    {
        std::string rules;
        for (uint32_t index = 0; index < services; ++index) {
            appendText(rules, "service service-", index, " at ", formatAddress({ 0x0b000000 + index, 80 }), " slots 5 connections 2000 # bench\n");
            for (uint32_t zone = 0; zone < 15; ++zone) {
                appendText(rules, "announce service-", index, " in zone-", zone, " # bench\n");
            }
        }
        return rules;
    }

    /** A balancer with the whole view: services and twelve agents each. */
    struct WholeView {
        SeededRandom random { 1 };
        Balancer balancer { { { 0x0a630001, 7000 }, "zone-0", 1 }, makeSteering("product", ""), random };
        uint32_t services;

        explicit WholeView(uint32_t count)
            : services(count)
        {
            Snapshot snapshot { .revision = 2, .rules = makePatch(0, "", rulesFor(count)) };
            for (uint32_t index = 0; index < count * 12; ++index) {
                snapshot.members.push_back(agentRecordOf(index, count));
            }
            this->balancer.onSnapshot(1s, snapshot);
            // Two more revisions, since a balancer keeps earlier rules for patches.
            for (Revision revision = 3; revision <= 4; ++revision) {
                (void)this->balancer.onConfiguration(1s, revision, 0, concat(rulesFor(count), "# ", revision, "\n"));
            }
        }
    };

    void addViewRows(std::vector<BenchRow>& rows)
    {
        double bytes[2] = {};
        const uint32_t sizes[2] = { 300, 1500 };
        for (size_t index = 0; index < 2; ++index) {
            const double before = heapBytes();
            const auto view = std::make_unique<WholeView>(sizes[index]);
            bytes[index] = heapBytes() - before;
        }
        rows.push_back({ "balancer: view of 1,500 services, 18,000 endpoints", bytes[1] / megabyte, "MB", 32, false, "heap of a balancer" });
        rows.push_back({ "balancer: view, slope per service with 12 endpoints", (bytes[1] - bytes[0]) / (sizes[1] - sizes[0]), "bytes", -1, false, "between 300 and 1,500 services" });
    }

    void addChangeRows(std::vector<BenchRow>& rows)
    {
        WholeView view(1500);
        Actions actions;
        view.balancer.tick(2s, actions);
        constexpr uint32_t changes = 20;
        const double seconds = secondsOf([&] {
            for (uint32_t index = 0; index < changes; ++index) {
                MemberRecord record = agentRecordOf(index, 1500);
                record.version = 2;
                record.weight = 400;
                Snapshot snapshot { .members = { record } };
                view.balancer.onSnapshot(3s, snapshot);
            }
        });
        const double perChange = seconds / changes;
        rows.push_back({ "balancer: processor time of one membership change at target", perChange * 1000, "ms", -1, false, "record merged, tables refreshed" });
        const double rate = targetReplacementsPerSecond * versionsPerReplacement;
        rows.push_back({ "balancer: processor share of membership changes at target", rate * perChange * 100, "% of core", 1.4, false, concat(rate, " changes a second") });
        std::vector<BucketMember> members;
        for (uint32_t index = 0; index < 12; ++index) {
            members.push_back({ { 0x0a000000 + index, 7000 }, 500, true });
        }
        constexpr int builds = 50;
        const double build = secondsOf([&] {
            for (int count = 0; count < builds; ++count) {
                const BucketTable table(members);
                members[0].weight = static_cast<uint16_t>(400 + table.choose(0).home);
            }
        });
        rows.push_back({ "balancer: one service's table of 12 endpoints", build / builds * 1000, "ms", 1, false, "" });
    }

    double addRuleRows(std::vector<BenchRow>& rows)
    {
        double seconds[2] = {};
        const uint32_t sizes[2] = { 300, 1500 };
        size_t bytes = 0;
        for (size_t index = 0; index < 2; ++index) {
            const std::string rules = rulesFor(sizes[index]);
            bytes = rules.size();
            seconds[index] = secondsOf([&rules] { (void)parseRules(rules); });
        }
        rows.push_back({ "all: rules of 1,500 services, 15 zones each", static_cast<double>(bytes) / 1000, "kB", 1000, false, "one value of the store" });
        rows.push_back({ "all: processor time to parse them", seconds[1] * 1000, "ms", -1, false, concat("300 services: ", seconds[0] * 1000, " ms") });
        rows.push_back({ "all: processor share of rule changes at target", targetChangesPerSecond * seconds[1] * 100, "% of core", 1.4, false, "parsing only" });
        const std::string before = rulesFor(1500);
        const std::string after = withZone(before, "zone-3", true, "night operator");
        const auto patch = static_cast<double>(encodeMessage(Snapshot { .revision = 2, .rules = makePatch(1, before, after) }).size() + encodeMessage(SnapshotAsk {}).size());
        const double perNode = targetChangesPerSecond * patch * (1 + targetEndpoints / targetNodes);
        rows.push_back({ "balancer: bytes for rule changes at target", perNode, "B/s", 4096, false, concat("a patch of ", patch, " bytes, fetched once and given to ten agents") });
        return perNode;
    }

    double addGossipRows(std::vector<BenchRow>& rows)
    {
        double steady[3] = {};
        double churned[3] = {};
        double processor[3] = {};
        const uint32_t sizes[3] = { 50, 100, 300 };
        constexpr double perChangeRun = 10; ///< Changes a second while churning, over the whole fleet.
        for (size_t index = 0; index < 3; ++index) {
            GossipFleet fleet(sizes[index], 50'000);
            fleet.advance(10s);
            fleet.bytes = 0;
            processor[index] = secondsOf([&fleet] { fleet.advance(10s); }) / sizes[index] / 10;
            steady[index] = 2.0 * static_cast<double>(fleet.bytes) / sizes[index] / 10;
            fleet.bytes = 0;
            MemberRecord record { .address = { 0x0a620001, 7000 }, .role = MemberRole::Agent, .zone = "midlands-a", .service = "storefront", .incarnation = 1 };
            for (uint32_t change = 0; change < 100; ++change) {
                record.version = change + 1;
                record.address.port = static_cast<uint16_t>(7000 + change % 50);
                fleet.nodes[change % sizes[index]]->learn(fleet.now, record);
                fleet.nodes[change % sizes[index]]->onHeartbeat(fleet.now, record.address);
                fleet.advance(100ms);
            }
            churned[index] = 2.0 * static_cast<double>(fleet.bytes) / sizes[index] / 10 - steady[index];
        }
        rows.push_back({ "balancer: gossip sent plus received, steady", steady[2], "B/s", 4096, false, concat("fleets of 50, 100, 300: ", steady[0], ", ", steady[1], ", ", steady[2]) });
        const double perChange = churned[2] / perChangeRun;
        rows.push_back({ "balancer: gossip per membership change", perChange, "bytes", -1, false, concat("fleets of 50, 100, 300: ", churned[0] / perChangeRun, ", ", churned[1] / perChangeRun, ", ", perChange) });
        const double atTarget = steady[2] + perChange * 1.4 * targetReplacementsPerSecond * versionsPerReplacement;
        rows.push_back({ "balancer: gossip at target, replacements included", atTarget, "B/s", 4096, false, "a change is sent log2 of the fleet times: 1.4 of that at 300" });
        rows.push_back({ "balancer: processor share of gossip", processor[2] * 100, "% of core", 1.4, false, concat("fleets of 50, 100, 300: ", processor[0] * 100, ", ", processor[1] * 100, ", ", processor[2] * 100) });
        return atTarget;
    }

    double addAnnounceRows(std::vector<BenchRow>& rows)
    {
        const MemberRecord record = agentRecordOf(1, 1500);
        const double announce = static_cast<double>(encodeMessage(Announce { record, 1, 1 }).size());
        const auto withList = static_cast<double>(encodeMessage(AnnounceReply { .balancers = std::vector<Address>(6) }).size());
        const double reply = (withList + 7 * static_cast<double>(encodeMessage(AnnounceReply {}).size())) / 8;
        const double load = static_cast<double>(encodeMessage(LoadNews {}).size());
        constexpr double sponsors = 2;
        constexpr double loadMessages = 20; ///< A second, when load changes all the time: four peers each 200 ms.
        const double perAgent = sponsors * (announce + reply);
        rows.push_back({ "agent: announcements, sent plus received", perAgent, "B/s", -1, false, "one a second to each of two balancers" });
        rows.push_back({ "agent: with load news at their busiest", perAgent + 2 * loadMessages * load, "B/s", 4096, false, "" });
        rows.push_back({ "balancer: announcements at target", perAgent * targetEndpoints / targetNodes, "B/s", 4096, false, "ten agents a balancer" });
        return perAgent * targetEndpoints / targetNodes;
    }

    void addFlowRows(std::vector<BenchRow>& rows)
    {
        SeededRandom random { 1 };
        double bytes[2] = {};
        const uint32_t sizes[2] = { 2000, 20'000 };
        for (size_t index = 0; index < 2; ++index) {
            Agent agent({ { 0x0a620001, 7000 }, "zone-0", "service-0", 1, 5 }, random);
            Actions actions;
            agent.onSnapshot(1s, { .revision = 1, .rules = makePatch(0, "", "service service-0 at 1.2.3.4:80 connections 100000 # x\nannounce service-0 in zone-0 # x\n") }, actions);
            const double before = heapBytes();
            for (uint32_t flow = 0; flow < sizes[index]; ++flow) {
                const FlowPacket packet { .flow = { { flow + 1, 1 }, { 0x01020304, 80 } }, .mark = PacketMark::Opening, .payload = encodeExchange(FlowNotice { .event = FlowEvent::Open }) };
                actions.clear();
                agent.onMessage(2s, ForwardedPacket { .packet = packet, .service = hashText("service-0"), .candidates = { { 0x0a620001, 7000 } }, .home = { 0x0a620001, 7000 } }, actions);
            }
            bytes[index] = (heapBytes() - before) / sizes[index];
        }
        rows.push_back({ "agent: bytes of an open flow without a request", bytes[1], "bytes", 512, false, concat("2,000 flows: ", bytes[0]) });
        rows.push_back({ "agent: 3,222 flows (58 M over 18,000 agents)", bytes[1] * 58e6 / targetEndpoints / megabyte, "MB", 32, false, "" });
    }

    void addStoreRows(std::vector<BenchRow>& rows)
    {
        // From the schedules of store/follower.cpp: lease renewed each 20 s, rules read about each 30 s, seeds each 60 s.
        rows.push_back({ "store: writes a second at target", targetNodes / 20 + targetChangesPerSecond, "calls/s", 200, false, "lease renewals and rule changes" });
        rows.push_back({ "store: reads a second at target", targetNodes / 30 + (targetNodes + targetEndpoints) / 60 + 2 * 15, "calls/s", 1000, false, "rules, lists of balancers, two watches a zone" });
    }

} // namespace

std::vector<BenchRow> benchCapacity()
{
    std::vector<BenchRow> rows;
    addViewRows(rows);
    addChangeRows(rows);
    const double rules = addRuleRows(rows);
    const double gossip = addGossipRows(rows);
    const double announcements = addAnnounceRows(rows);
    const double control = rules + gossip + announcements;
    rows.push_back({ "balancer: all control traffic at target, sent plus received", control, "B/s", 4096, false, "payload of rules, gossip, announcements" });
    constexpr double datagrams = 4 * 5 + 2 * 2 * targetEndpoints / targetNodes; // Probes and answers both ways, announcements and replies.
    constexpr double headerBytes = 28;
    rows.push_back({ "balancer: the same with IP and UDP headers", control + datagrams * headerBytes, "B/s", 4096, false, concat(datagrams, " datagrams a second") });
    addFlowRows(rows);
    addStoreRows(rows);
    return rows;
}

} // namespace lavender
