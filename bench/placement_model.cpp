/** @file placement_model.cpp The product's agents, with flows that open and close at random moments. */
#include "placement_model.h"

#include "config/rule_func.h"
#include "core/hash_func.h"
#include "core/text_func.h"
#include "wire/codec_func.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lavender {

namespace {

    constexpr Duration hopDelay = 1500us;
    constexpr Duration tickPeriod = 50ms;
    constexpr Duration samplePeriod = 20ms;

    class PlacementModel {
    public:
        explicit PlacementModel(const PlacementScene& sceneToRun)
            : scene(sceneToRun)
            , random(hashPair(scene.seed, 77))
            , steering(makeSteering(scene.steering, ""))
        {
            const std::string rules = concat("service s at 10.0.0.1:80 slots ", scene.slots, " connections 1000000 ramp 0 # bench\nannounce s in z # bench\n");
            this->configuration = parseRules(rules).configuration;
            for (uint32_t index = 0; index < scene.agents; ++index) {
                this->records.push_back({ .address = { 0x0a620001 + index, 7000 }, .role = MemberRole::Agent, .zone = "z", .service = "s", .incarnation = 1, .version = 1, .state = MemberState::Ready, .slots = scene.slots, .weight = static_cast<uint16_t>(scene.slots * 100) });
            }
            for (const MemberRecord& record : this->records) {
                this->agents.push_back(std::make_unique<Agent>(AgentSettings { record.address, "z", "s", 1, scene.slots, scene.steering == "product" }, this->random));
                Actions actions;
                this->agents.back()->onSnapshot(1s, { .revision = 1, .rules = makePatch(0, "", rules), .members = this->records }, actions);
            }
            this->steering->update(Duration(-1h), this->configuration.services[0], this->configuration, this->records);
        }

        PlacementResult run()
        {
            this->queue.runUntil(1s);
            this->warmAll();
            this->tickAll();
            this->openNext();
            this->sample();
            this->queue.runUntil(1s + this->scene.duration);
            return this->summarize();
        }

    private:
        Duration exponential(Duration mean)
        {
            const double uniform = (this->random.below(1U << 30U) + 0.5) / (1U << 30U);
            return Duration(static_cast<int64_t>(-std::log(uniform) * static_cast<double>(mean.count())));
        }

        /** One request each, so that no limit is cold. */
        void warmAll()
        {
            for (uint16_t index = 0; index < this->agents.size(); ++index) {
                const FlowKey flow { { 0x0a010000, static_cast<uint16_t>(index + 1) }, { 0x0a000001, 80 } };
                this->sendTo(index, flow, PacketMark::Opening, FlowNotice { .event = FlowEvent::Open });
                this->sendTo(index, flow, PacketMark::Middle, RequestPart { .request = 1, .remaining = 60'000 });
                this->finishRequest(flow);
                this->sendTo(index, flow, PacketMark::Closing, FlowNotice { .event = FlowEvent::Closed });
            }
        }

        void sendTo(size_t index, const FlowKey& flow, PacketMark mark, const Exchange& exchange)
        {
            const Address address = this->records[index].address;
            this->arrive(address, ForwardedPacket { .packet = { .flow = flow, .mark = mark, .payload = encodeExchange(exchange) }, .service = this->configuration.services[0].nameHash, .candidates = { address }, .isPlaced = true, .home = address });
        }

        void arrive(Address to, const Message& message)
        {
            Agent& agent = *this->agents[to.host - 0x0a620001];
            Actions actions;
            agent.onMessage(this->queue.now(), message, actions);
            this->perform(to, actions);
        }

        void perform(Address from, const Actions& actions)
        {
            for (const Action& action : actions) {
                if (const auto* send = std::get_if<SendMessage>(&action)) {
                    const bool isNews = std::holds_alternative<LoadNews>(send->message);
                    const bool isKnown = send->to.host >= 0x0a620001 && send->to.host < 0x0a620001 + this->agents.size();
                    if (isKnown && (!isNews || this->scene.hasNews)) {
                        this->queue.scheduleIn(isNews ? this->scene.newsDelay : hopDelay, [this, to = send->to, message = send->message] { this->arrive(to, message); });
                    }
                } else if (const auto* handOver = std::get_if<HandOver>(&action)) {
                    this->running[handOver->key] = { from, handOver->id };
                }
            }
        }

        void finishRequest(const FlowKey& flow)
        {
            for (const auto& [key, where] : std::map(this->running)) {
                if (key.empty() || key == formatFlow(flow)) {
                    Actions actions;
                    this->running.erase(key);
                    this->agents[where.first.host - 0x0a620001]->onUpstreamResult(this->queue.now(), { where.second, UpstreamOutcome::Answered, {} }, actions);
                    this->perform(where.first, actions);
                }
            }
        }

        void spray(const FlowKey& flow, PacketMark mark, const Exchange& exchange)
        {
            ForwardedPacket forwarded { .packet = { .flow = flow, .mark = mark, .payload = encodeExchange(exchange) } };
            if (this->steering->route(this->queue.now(), this->configuration.services[0], forwarded)) {
                const Address first = forwarded.candidates.front();
                this->queue.scheduleIn(hopDelay, [this, first, forwarded] { this->arrive(first, forwarded); });
            }
        }

        void openNext()
        {
            const uint64_t number = this->nextFlow++;
            const FlowKey flow { { 0x0a020000 + static_cast<uint32_t>(number / 60'000), static_cast<uint16_t>(1024 + number % 60'000) }, { 0x0a000001, 80 } };
            this->spray(flow, PacketMark::Opening, FlowNotice { .event = FlowEvent::Open });
            const Duration life = this->exponential(this->scene.flowTime);
            if (this->scene.hasRequests) {
                this->queue.scheduleIn(10ms, [this, flow] { this->spray(flow, PacketMark::Middle, RequestPart { .request = 1, .isRepeatable = true, .remaining = 600'000, .key = formatFlow(flow) }); });
                this->queue.scheduleIn(15ms + life, [this, flow] { this->finishRequest(flow); });
            }
            this->queue.scheduleIn(25ms + life, [this, flow] { this->spray(flow, PacketMark::Closing, FlowNotice { .event = FlowEvent::Closed }); });
            this->queue.scheduleIn(this->exponential(Duration(static_cast<int64_t>(1e6 / this->scene.flowsPerSecond))), [this] { this->openNext(); });
        }

        void tickAll()
        {
            for (const auto& agent : this->agents) {
                Actions actions;
                agent->tick(this->queue.now(), actions);
                this->perform(agent->self().address, actions);
            }
            this->queue.scheduleIn(tickPeriod, [this] { this->tickAll(); });
        }

        void sample()
        {
            if (this->queue.now() > 1s + this->scene.duration / 3) {
                double flows = 0;
                double highest = 0;
                double inUse = 0;
                double highestInUse = 0;
                for (const auto& agent : this->agents) {
                    const auto held = static_cast<double>(agent->flowTable().size());
                    const auto used = static_cast<double>(agent->requestSystem().inFlight() + agent->requestSystem().queued());
                    flows += held;
                    highest = std::max(highest, held);
                    inUse += used;
                    highestInUse = std::max(highestInUse, used);
                }
                const auto count = static_cast<double>(this->agents.size());
                if (flows > 0) {
                    this->flowSamples.push_back(highest * count / flows);
                }
                if (inUse > 0) {
                    this->slotSamples.push_back(highestInUse / std::ceil(inUse / count));
                }
            }
            this->queue.scheduleIn(samplePeriod, [this] { this->sample(); });
        }

        PlacementResult summarize()
        {
            const auto mean = [](const std::vector<double>& samples) { return samples.empty() ? 0 : std::accumulate(samples.begin(), samples.end(), 0.0) / static_cast<double>(samples.size()); };
            PlacementResult result { .flowsMean = mean(this->flowSamples), .slotsMean = mean(this->slotSamples) };
            std::sort(this->flowSamples.begin(), this->flowSamples.end());
            result.flowsQuantile99 = this->flowSamples.empty() ? 0 : this->flowSamples[static_cast<size_t>(0.99 * static_cast<double>(this->flowSamples.size() - 1))];
            uint64_t opened = 0;
            uint64_t chained = 0;
            for (const auto& agent : this->agents) {
                opened += agent->counters().get(Counter::FlowsOpened);
                chained += agent->counters().get(Counter::Chained);
            }
            // Each packet of a flow that lives elsewhere is passed on: its opening, its closing, and its request.
            const double packets = this->scene.hasRequests ? 3 : 2;
            result.movedShare = static_cast<double>(chained) / packets / static_cast<double>(std::max<uint64_t>(opened, 1));
            return result;
        }

        PlacementScene scene;
        SeededRandom random;
        EventQueue queue;
        std::unique_ptr<Steering> steering;
        Configuration configuration;
        std::vector<MemberRecord> records;
        std::vector<std::unique_ptr<Agent>> agents;
        std::map<std::string, std::pair<Address, HandOverId>> running; ///< Requests at the upstreams, by key.
        uint64_t nextFlow = 0;
        std::vector<double> flowSamples;
        std::vector<double> slotSamples;
    };

} // namespace

PlacementResult runPlacement(const PlacementScene& scene)
{
    return PlacementModel(scene).run();
}

} // namespace lavender
