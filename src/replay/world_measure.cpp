/** @file world_measure.cpp What a replay measures from outside the system. */
#include "replay/world.h"

#include "config/rule_func.h"
#include "core/text_func.h"
#include "wire/codec_func.h"

#include <algorithm>
#include <iostream>

namespace lavender {

void World::noteRules(const StoreValue& value)
{
    this->commits.push_back({ value.revision, this->queue.now() });
    const absl::StatusOr<RulesEnvelope> envelope = parseEnvelope(value.value);
    const std::set<std::string> out = envelope.ok() ? parseRules(envelope->rules).configuration.zonesOut : std::set<std::string>();
    std::erase_if(this->outSince, [&out](const auto& entry) { return !out.contains(entry.first); });
    for (const std::string& zone : out) {
        this->outSince.try_emplace(zone, this->queue.now());
        this->outEver.insert(zone);
    }
}

void World::notePacketInto(const AgentNode& agent)
{
    const auto out = this->outSince.find(agent.zone);
    if (out != this->outSince.end()) {
        Duration& latest = this->measure.quiet[agent.zone];
        latest = std::max(latest, this->queue.now() - out->second);
    }
}

void World::measureImbalance()
{
    for (const auto& service : this->setup["services"]) {
        const std::string name = service["name"];
        double total = 0;
        double highest = 0;
        int count = 0;
        for (const auto& agent : this->agents) {
            if (!agent->isRunning() || agent->spec.service != name || agent->state().self().state != MemberState::Ready || this->outSince.contains(agent->zone)) {
                continue;
            }
            const auto flows = static_cast<double>(agent->state().flowTable().size());
            total += flows;
            highest = std::max(highest, flows);
            ++count;
        }
        if (total > 0) {
            this->measure.imbalance[name].push_back(highest * count / total);
        }
    }
}

/** A flow whose owner hands it over stands at two agents for a moment; the old one does nothing with it. */
void World::measureOwners()
{
    std::map<FlowKey, const AgentNode*> owners;
    for (const auto& agent : this->agents) {
        if (!agent->isAlive()) {
            continue;
        }
        for (const auto& [key, flow] : agent->state().flowTable()) {
            if (flow.movingTo.isValid()) {
                continue;
            }
            const auto [entry, isNew] = owners.emplace(key, agent.get());
            if (!isNew) {
                this->measure.twoOwners.note(concat("at ", toMilliseconds(this->queue.now()), " ms: ", formatFlow(key), ": ", entry->second->name, " and ", agent->name));
            }
        }
    }
}

void World::measureRevisions()
{
    const auto check = [this](const ReplayNode& node) {
        Revision& seen = this->seenRevision[&node];
        if (node.revision() < seen) {
            this->measure.reverts.note(concat("at ", toMilliseconds(this->queue.now()), " ms: ", node.name, ": ", seen, " to ", node.revision()));
        }
        const bool isAccepted = node.revision() == 0 || std::any_of(this->commits.begin(), this->commits.end(), [&node](const Commit& commit) { return commit.revision == node.revision(); });
        if (!isAccepted) {
            this->measure.reverts.note(concat("at ", toMilliseconds(this->queue.now()), " ms: ", node.name, ": revision ", node.revision(), " was never accepted"));
        }
        seen = std::max(seen, node.revision());
    };
    for (const auto& agent : this->agents) {
        check(*agent);
    }
    for (const auto& balancer : this->balancers) {
        check(*balancer);
        const auto missing = std::find_if(this->commits.begin(), this->commits.end(), [&balancer](const Commit& commit) { return commit.revision > balancer->revision(); });
        if (balancer->isRunning() && missing != this->commits.end()) {
            this->measure.inForce = std::max(this->measure.inForce, this->queue.now() - std::max(missing->at, balancer->runningSince()));
        }
    }
}

void World::showMessage(std::string_view from, std::string_view to, const Message& message) const
{
    if (this->watched.empty()) {
        return;
    }
    std::string what;
    const FlowKey* flow = nullptr;
    if (const auto* forwarded = std::get_if<ForwardedPacket>(&message)) {
        flow = &forwarded->packet.flow;
        what = concat("packet, mark ", static_cast<int>(forwarded->packet.mark), ", hops ", forwarded->hops, ", visited ", forwarded->visited, forwarded->isPlaced ? ", placed" : "");
    } else if (const auto* packet = std::get_if<FlowPacket>(&message)) {
        flow = &packet->flow;
        const absl::StatusOr<Exchange> exchange = decodeExchange(packet->payload);
        const auto* notice = exchange.ok() ? std::get_if<FlowNotice>(&*exchange) : nullptr;
        what = notice == nullptr ? "answer" : concat("notice ", static_cast<int>(notice->event));
    } else if (const auto* query = std::get_if<FlowQuery>(&message)) {
        flow = &query->flow;
        what = "query";
    } else if (const auto* reply = std::get_if<FlowQueryReply>(&message)) {
        flow = &reply->flow;
        what = concat("query reply, owner ", reply->owner.isValid() ? formatAddress(reply->owner) : "unknown");
    } else if (const auto* move = std::get_if<FlowMove>(&message)) {
        flow = &move->flow;
        what = concat("move ", move->moves);
    } else if (const auto* moved = std::get_if<FlowMoveReply>(&message)) {
        flow = &moved->flow;
        what = concat("move ", moved->moves, moved->isTaken ? " taken" : " refused");
    }
    if (flow != nullptr && formatFlow(*flow) == this->watched) {
        std::cerr << toMilliseconds(this->queue.now()) << " ms: " << from << " to " << to << ": " << what << "\n";
    }
}

void World::measureAll()
{
    this->measureImbalance();
    this->measureOwners();
    this->measureRevisions();
}

} // namespace lavender
