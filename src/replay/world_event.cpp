/** @file world_event.cpp Effects of trace events on the simulated world. */
#include "replay/world.h"

#include "core/text_func.h"
#include "store/commit.h"

#include <array>

namespace lavender {

namespace {

    constexpr Duration commitRetryDelay = 1s; ///< Time before a commit that was neither accepted nor refused is tried again.

    /** Event of one upstream and its agent. */
    struct NodeEvent {
        std::string_view kind; ///< Value of "do".
        void (*apply)(AgentNode&, const nlohmann::json&);
    };

    void upstreamDies(AgentNode& node, const nlohmann::json& /*fields*/) { node.kill(); }
    void upstreamDrains(AgentNode& node, const nlohmann::json& /*fields*/) { node.drain(); }
    void upstreamCold(AgentNode& node, const nlohmann::json& /*fields*/) { node.upstream().becomeCold(); }
    void upstreamSlows(AgentNode& node, const nlohmann::json& fields) { node.spec.workTime = std::chrono::milliseconds(fields["work_ms"].get<int64_t>()); }
    void upstreamLies(AgentNode& node, const nlohmann::json& fields) { node.isHealthSilent = fields["is_lying"].get<bool>(); }
    void upstreamDown(AgentNode& node, const nlohmann::json& fields) { node.isUpstreamDown = fields["is_lying"].get<bool>(); }

    constexpr std::array<NodeEvent, 6> nodeEvents { {
        { "upstream_dies", upstreamDies },
        { "upstream_drains", upstreamDrains },
        { "upstream_cold", upstreamCold },
        { "upstream_slows", upstreamSlows },
        { "upstream_lies", upstreamLies },
        { "upstream_down", upstreamDown },
    } };

} // namespace

std::string World::setupRules() const
{
    std::string rules;
    for (const auto& service : this->setup["services"]) {
        const std::string name = service["name"];
        const nlohmann::json where { { "service", name } };
        appendText(rules, "service ", name, " at ", formatAddress(this->callerSpec(where).address), " slots ", service["slots"].get<uint32_t>());
        appendText(rules, " connections ", service.value("connections", 2000U), " ramp ", service.value("ramp_ms", 2000U), " # setup\n");
    }
    std::set<std::pair<std::string, std::string>> announcers;
    for (const auto& upstream : this->setup["upstreams"]) {
        announcers.emplace(upstream["service"].get<std::string>(), upstream["zone"].get<std::string>());
    }
    for (const auto& [service, zone] : announcers) {
        appendText(rules, "announce ", service, " in ", zone, " # setup\n");
    }
    return rules;
}

/** Commits a change of the rules as an operator does: tries again until it is accepted or refused. */
void World::commitRules(const RuleCommand& command)
{
    const std::string change = concat("change-", this->nextSeed++);
    const Delay delay = [this](Duration span, std::function<void()> then) { this->queue.scheduleIn(span, std::move(then)); };
    commitCommand(this->store, command, change, false, delay, [this, command](const CommitResult& result) {
        const bool isFinal = result.outcome == CommitOutcome::Committed || result.outcome == CommitOutcome::Unchanged || result.outcome == CommitOutcome::Refused;
        if (!isFinal) {
            this->queue.scheduleIn(commitRetryDelay, [this, command] { this->commitRules(command); });
        }
    });
}

void World::addFlows(const TraceEvent& event)
{
    const auto& fields = event.fields;
    const CallerSpec spec = this->callerSpec(fields);
    if (event.kind == "flows") {
        this->callerModel.addLongFlows(this->queue.now(), spec, fields["count"].get<uint32_t>(), std::chrono::milliseconds(fields.value("over_ms", 1000)));
    } else {
        this->callerModel.addArrivals(this->queue.now(), spec, fields["per_second"].get<double>(), std::chrono::milliseconds(fields["until_ms"].get<int64_t>()));
    }
}

void World::applyNodeEvent(const TraceEvent& event)
{
    const auto& fields = event.fields;
    const std::string name = fields["name"];
    if (event.kind == "balancer_joins") {
        this->addBalancer(name, fields["zone"]);
    } else if (event.kind == "upstream_returns") {
        this->addAgent(name, true);
    } else if (event.kind == "balancer_dies") {
        this->findBalancer(name)->kill();
    } else if (event.kind == "balancer_stops") {
        BalancerNode* node = this->findBalancer(name);
        node->stop();
        constexpr Duration leaveLinger = 2s; ///< Time from the graceful stop to the end of the process.
        this->queue.scheduleIn(leaveLinger, [node] { node->kill(); });
    } else if (event.kind == "balancer_pauses") {
        this->findBalancer(name)->pauseUntil(this->queue.now() + std::chrono::milliseconds(fields["for_ms"].get<int64_t>()));
    } else if (event.kind == "agent_pauses") {
        this->findAgent(name)->pauseUntil(this->queue.now() + std::chrono::milliseconds(fields["for_ms"].get<int64_t>()));
    }
    for (const NodeEvent& entry : nodeEvents) {
        if (entry.kind == event.kind) {
            entry.apply(*this->findAgent(name), fields);
        }
    }
}

void World::applyEvent(const TraceEvent& event)
{
    const auto& fields = event.fields;
    if (event.kind == "flows" || event.kind == "arrivals") {
        this->addFlows(event);
    } else if (event.kind == "zone_out" || event.kind == "zone_in") {
        this->commitRules({
            .kind = event.kind == "zone_out" ? RuleCommandKind::ZoneOut : RuleCommandKind::ZoneIn,
            .zone = fields["zone"],
            .who = "trace",
        });
    } else if (event.kind == "rules") {
        std::string rules = this->setupRules();
        for (const auto& line : fields["add"]) {
            appendText(rules, line.get<std::string>(), "\n");
        }
        this->commitRules({ .kind = RuleCommandKind::Replace, .text = std::move(rules), .who = "trace" });
    } else if (event.kind == "store") {
        this->store.setDown(fields.value("down", false));
        this->store.latency = std::chrono::milliseconds(fields.value("delay_ms", 3));
        this->store.answersToLose = fields.value("lose_answers", 0U);
    } else if (event.kind == "link") {
        this->link.lossPartsPerMillion = fields.value("loss_ppm", this->link.lossPartsPerMillion);
        this->link.controlLossPartsPerMillion = fields.value("control_loss_ppm", this->link.controlLossPartsPerMillion);
        this->link.duplicatePartsPerMillion = fields.value("duplicate_ppm", this->link.duplicatePartsPerMillion);
        this->link.delay = Duration(fields.value("delay_us", static_cast<int64_t>(this->link.delay.count())));
        this->link.jitter = Duration(fields.value("jitter_us", static_cast<int64_t>(this->link.jitter.count())));
    } else if (event.kind == "partition") {
        for (const auto& zone : fields["zones"]) {
            this->isolatedZones.insert(zone.get<std::string>());
        }
    } else if (event.kind == "heal") {
        this->isolatedZones.clear();
    } else {
        this->applyNodeEvent(event);
    }
}

} // namespace lavender
