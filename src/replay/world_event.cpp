/** @file world_event.cpp What a trace's lines do to the world. */
#include "replay/world.h"

#include "core/text_func.h"
#include "store/commit.h"

#include <array>

namespace lavender {

namespace {

    constexpr Duration operatorRetry = 1s;

    struct NodeEvent {
        std::string_view kind;
        void (*apply)(AgentNode&, const nlohmann::json&);
    };

    void upstreamDies(AgentNode& node, const nlohmann::json& /*fields*/) { node.die(); }
    void upstreamDrains(AgentNode& node, const nlohmann::json& /*fields*/) { node.drain(); }
    void upstreamCold(AgentNode& node, const nlohmann::json& /*fields*/) { node.upstream().becomeCold(); }
    void upstreamSlows(AgentNode& node, const nlohmann::json& fields) { node.spec.workTime = std::chrono::milliseconds(fields["work_ms"].get<int64_t>()); }
    void upstreamLies(AgentNode& node, const nlohmann::json& fields) { node.isHealthLying = fields["is_lying"].get<bool>(); }
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

/** An operator who tries again until the store says yes or no. */
void World::changeRules(const RuleCommand& command)
{
    const std::string change = concat("change-", this->nextSeed++);
    const Delay delay = [this](Duration span, std::function<void()> then) { this->queue.scheduleIn(span, std::move(then)); };
    commitCommand(this->store, command, change, false, delay, [this, command](const CommitResult& result) {
        const bool isDone = result.outcome == CommitOutcome::Committed || result.outcome == CommitOutcome::Unchanged || result.outcome == CommitOutcome::Refused;
        if (!isDone) {
            this->queue.scheduleIn(operatorRetry, [this, command] { this->changeRules(command); });
        }
    });
}

void World::addFlows(const TraceEvent& event)
{
    const auto& fields = event.fields;
    const CallerSpec spec = this->callerSpec(fields);
    if (event.kind == "flows") {
        this->model.addLongFlows(this->queue.now(), spec, fields["count"].get<uint32_t>(), std::chrono::milliseconds(fields.value("over_ms", 1000)));
    } else {
        this->model.addArrivals(this->queue.now(), spec, fields["per_second"].get<double>(), std::chrono::milliseconds(fields["until_ms"].get<int64_t>()));
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
        this->findBalancer(name)->die();
    } else if (event.kind == "balancer_stops") {
        BalancerNode* node = this->findBalancer(name);
        node->stop();
        constexpr Duration linger = 2s;
        this->queue.scheduleIn(linger, [node] { node->die(); });
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
        this->changeRules({ .kind = event.kind == "zone_out" ? RuleCommandKind::ZoneOut : RuleCommandKind::ZoneIn, .zone = fields["zone"], .who = "trace" });
    } else if (event.kind == "rules") {
        std::string rules = this->setupRules();
        for (const auto& line : fields["add"]) {
            appendText(rules, line.get<std::string>(), "\n");
        }
        this->changeRules({ .kind = RuleCommandKind::Replace, .text = std::move(rules), .who = "trace" });
    } else if (event.kind == "store") {
        this->store.setDown(fields.value("down", false));
        this->store.latency = std::chrono::milliseconds(fields.value("delay_ms", 3));
        this->store.answersToLose = fields.value("lose_answers", 0U);
    } else if (event.kind == "link") {
        this->faults.lossPartsPerMillion = fields.value("loss_ppm", this->faults.lossPartsPerMillion);
        this->faults.controlLossPartsPerMillion = fields.value("control_loss_ppm", this->faults.controlLossPartsPerMillion);
        this->faults.duplicatePartsPerMillion = fields.value("duplicate_ppm", this->faults.duplicatePartsPerMillion);
        this->faults.delay = Duration(fields.value("delay_us", static_cast<int64_t>(this->faults.delay.count())));
        this->faults.jitter = Duration(fields.value("jitter_us", static_cast<int64_t>(this->faults.jitter.count())));
    } else if (event.kind == "partition") {
        for (const auto& zone : fields["zones"]) {
            this->isolated.insert(zone.get<std::string>());
        }
    } else if (event.kind == "heal") {
        this->isolated.clear();
    } else {
        this->applyNodeEvent(event);
    }
}

} // namespace lavender
