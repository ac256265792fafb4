/** @file world_measure.cpp Measurements of a replay, taken from the state of all nodes and from the traffic between them. */
#include "replay/world.h"

#include "config/rule_func.h"
#include "core/text_func.h"
#include "wire/codec_func.h"

#include <algorithm>
#include <iostream>

namespace lavender {

void World::recordCommit(const StoreValue& value)
{
    this->commits.push_back({ value.position, this->queue.now() });
    const absl::StatusOr<RulesEnvelope> envelope = parseEnvelope(value.value);
    const std::set<std::string> outZones = envelope.ok() ? parseRules(envelope->rules).configuration.zonesOut : std::set<std::string>();
    std::erase_if(this->outZonesSince, [&outZones](const auto& entry) { return !outZones.contains(entry.first); });
    for (const std::string& zone : outZones) {
        this->outZonesSince.try_emplace(zone, this->queue.now());
        this->everOutZones.insert(zone);
    }
}

void World::recordPacketIntoZone(const AgentNode& agent)
{
    const auto out = this->outZonesSince.find(agent.zone);
    if (out != this->outZonesSince.end()) {
        Duration& latest = this->measured.timeToLastPacket[agent.zone];
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
            if (!agent->isRunning() || agent->spec.service != name || agent->state().self().state != MemberState::Ready
                || this->outZonesSince.contains(agent->zone)) {
                continue;
            }
            const auto flows = static_cast<double>(agent->state().flowTable().size());
            total += flows;
            highest = std::max(highest, flows);
            ++count;
        }
        if (total > 0) {
            this->measured.imbalance[name].push_back(highest * count / total);
        }
    }
}

/** Skips flows in a move: both agents hold them for a short time, but the old owner no longer works on them. */
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
                this->measured.twoOwners.add(concat("at ", toMilliseconds(this->queue.now()), " ms: ", formatFlow(key), ": ", entry->second->name, " and ", agent->name));
            }
        }
    }
}

void World::measureRevisions()
{
    const auto check = [this](const ReplayNode& node) {
        Revision& seen = this->highestRevision[&node];
        if (node.revision() < seen) {
            this->measured.revisionReverts.add(concat("at ", toMilliseconds(this->queue.now()), " ms: ", node.name, ": ", formatRevision(seen), " to ", formatRevision(node.revision())));
        }
        const bool isCommitted = !node.revision().isValid()
            || std::any_of(this->commits.begin(), this->commits.end(), [&node](const Commit& commit) { return commit.position == node.revision().position; });
        if (!isCommitted) {
            this->measured.revisionReverts.add(concat("at ", toMilliseconds(this->queue.now()), " ms: ", node.name, ": revision ", formatRevision(node.revision()), " was never accepted"));
        }
        seen = std::max(seen, node.revision());
    };
    for (const auto& agent : this->agents) {
        check(*agent);
    }
    for (const auto& balancer : this->balancers) {
        check(*balancer);
        const auto newerCommit = std::find_if(this->commits.begin(), this->commits.end(), [&balancer](const Commit& commit) {
            return commit.position > balancer->revision().position;
        });
        if (balancer->isRunning() && newerCommit != this->commits.end()) {
            this->measured.revisionLag = std::max(this->measured.revisionLag, this->queue.now() - std::max(newerCommit->at, balancer->runningSince()));
        }
    }
}

void World::logWatchedFlow(std::string_view from, std::string_view to, const Message& message) const
{
    if (this->watchedFlow.empty()) {
        return;
    }
    std::string what;
    const FlowKey* flow = nullptr;
    if (const auto* forwarded = std::get_if<ForwardedPacket>(&message)) {
        flow = &forwarded->packet.flow;
        what = concat("packet, mark ", static_cast<int>(forwarded->packet.mark), ", hops ", forwarded->hops, ", visited ", forwarded->visited, forwarded->isPlaced ? ", placed" : "");
    } else if (const auto* packet = std::get_if<FlowPacket>(&message)) {
        flow = &packet->flow;
        const absl::StatusOr<FlowPayload> payload = decodePayload(packet->payload);
        const auto* notice = payload.ok() ? std::get_if<FlowNotice>(&*payload) : nullptr;
        what = notice == nullptr ? "answer" : concat("notice ", static_cast<int>(notice->event));
    } else if (const auto* query = std::get_if<FlowQuery>(&message)) {
        flow = &query->flow;
        what = "query";
    } else if (const auto* reply = std::get_if<FlowQueryReply>(&message)) {
        flow = &reply->flow;
        what = concat("query reply, owner ", reply->owner.isValid() ? formatAddress(reply->owner) : "unknown");
    } else if (const auto* move = std::get_if<FlowMove>(&message)) {
        flow = &move->flow;
        what = concat("move ", move->moveCount);
    } else if (const auto* moved = std::get_if<FlowMoveReply>(&message)) {
        flow = &moved->flow;
        what = concat("move ", moved->moveCount, moved->isAccepted ? " taken" : " refused");
    }
    if (flow != nullptr && formatFlow(*flow) == this->watchedFlow) {
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
