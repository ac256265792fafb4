/** @file flow_registrar.cpp One channel to each directory agent; a reply confirms all flows of the latest message. */
#include "packet/directory/flow_registrar.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration repeatPeriod = 50ms; ///< Until a reply: a lookup of the flow may wait for the registration.
    constexpr Duration slowRepeatPeriod = 500ms; ///< After quickRepeats: the agent is out of reach, or has ended.
    constexpr int quickRepeats = 5;
    constexpr Duration refreshPeriod = 40s; ///< Entries expire after more than twice this time.

} // namespace

/** Registers all flows anew with an agent that has started again or is new. */
void FlowRegistrar::restart(Channel& channel, Address agent)
{
    channel.pending.clear();
    channel.flowsInMessage = 0;
    channel.isStatementDue = true;
    channel.unanswered = 0;
    channel.sentAt = {};
    for (const auto& [flow, targets] : this->flows) {
        if (std::find(targets.begin(), targets.end(), agent) != targets.end()) {
            channel.pending.push_back(flow);
        }
    }
}

void FlowRegistrar::onMembersChanged(TimePoint now, const DirectoryMembers& members, Address self)
{
    std::erase_if(this->channels, [&members](const auto& entry) {
        const DirectoryMember* member = members.find(entry.first);
        return member == nullptr || member->goneAt != TimePoint {};
    });
    for (auto& [flow, targets] : this->flows) {
        std::vector<Address> changed = members.registrationTargets(now, flow);
        for (Address agent : changed) {
            const auto channel = this->channels.find(agent);
            if (channel != this->channels.end() && std::find(targets.begin(), targets.end(), agent) == targets.end()) {
                channel->second.pending.push_back(flow);
            }
        }
        targets = std::move(changed);
    }
    for (const auto& [address, member] : members.all()) {
        if (address == self || member.goneAt != TimePoint {}) {
            continue;
        }
        const auto [found, isNew] = this->channels.try_emplace(address);
        if (isNew || member.incarnation > found->second.incarnation) {
            found->second.incarnation = member.incarnation;
            this->restart(found->second, address);
        }
    }
}

void FlowRegistrar::add(TimePoint now, const RegistrarIdentity& identity, const DirectoryMembers& members, const FlowKey& flow, Actions& actions)
{
    const auto [found, isNew] = this->flows.try_emplace(flow);
    if (!isNew) {
        return;
    }
    found->second = members.registrationTargets(now, flow);
    for (Address agent : found->second) {
        const auto channel = this->channels.find(agent);
        if (channel == this->channels.end()) {
            continue; // The owner itself.
        }
        channel->second.pending.push_back(flow);
        if (channel->second.unanswered < quickRepeats) {
            this->send(now, identity, agent, channel->second, actions);
        }
    }
}

void FlowRegistrar::send(TimePoint now, const RegistrarIdentity& identity, Address agent, Channel& channel, Actions& actions)
{
    channel.flowsInMessage = std::min(channel.pending.size(), maximumFlowsPerRegistration);
    channel.wasComplete = identity.isJudged && channel.flowsInMessage == channel.pending.size();
    channel.sentAt = now;
    ++channel.number;
    ++channel.unanswered;
    actions.push_back(SendMessage {
        agent,
        FlowRegistration {
            .service = identity.service,
            .owner = identity.owner,
            .incarnation = identity.incarnation,
            .number = channel.number,
            .isComplete = channel.wasComplete,
            .knowsAllFlows = identity.knowsAllFlows,
            .flows = { channel.pending.begin(), channel.pending.begin() + static_cast<std::ptrdiff_t>(channel.flowsInMessage) },
        },
    });
}

void FlowRegistrar::onReply(const FlowRegistrationReply& reply)
{
    const auto found = this->channels.find(reply.responder);
    if (found == this->channels.end() || reply.incarnation < found->second.incarnation) {
        return;
    }
    Channel& channel = found->second;
    if (channel.incarnation == 0) {
        channel.incarnation = reply.incarnation; // Known from the roster only until now.
    }
    if (reply.incarnation > channel.incarnation || reply.number == 0) {
        channel.incarnation = reply.incarnation;
        this->restart(channel, reply.responder);
        return;
    }
    channel.hasReplied = true;
    if (reply.number != channel.number) {
        return; // A later message holds all flows of this one.
    }
    channel.pending.erase(channel.pending.begin(), channel.pending.begin() + static_cast<std::ptrdiff_t>(channel.flowsInMessage));
    channel.flowsInMessage = 0;
    channel.isStatementDue = channel.isStatementDue && !channel.wasComplete;
    channel.unanswered = 0;
    channel.sentAt = {};
}

void FlowRegistrar::onHeardFrom(Address agent)
{
    if (const auto found = this->channels.find(agent); found != this->channels.end() && found->second.unanswered > quickRepeats) {
        found->second.unanswered = 0;
        found->second.sentAt = {};
    }
}

/** Registers each flow again from time to time, so that its entries do not expire. */
void FlowRegistrar::refresh(TimePoint now)
{
    if (now < this->nextRefresh) {
        return;
    }
    if (this->nextRefresh != TimePoint {}) {
        for (auto& [agent, channel] : this->channels) {
            this->restart(channel, agent);
        }
    }
    this->nextRefresh = now + refreshPeriod;
}

void FlowRegistrar::tick(TimePoint now, const RegistrarIdentity& identity, Actions& actions)
{
    if (identity != this->stated) {
        this->stated = identity;
        for (auto& [agent, channel] : this->channels) {
            channel.isStatementDue = true;
        }
    }
    this->refresh(now);
    for (auto& [agent, channel] : this->channels) {
        const Duration period = channel.unanswered < quickRepeats ? repeatPeriod : slowRepeatPeriod;
        const bool isOpen = !channel.hasReplied || (channel.isStatementDue && identity.isJudged) || !channel.pending.empty();
        if (isOpen && (channel.sentAt == TimePoint {} || now - channel.sentAt >= period)) {
            this->send(now, identity, agent, channel, actions);
        }
    }
}

FlowRegistrar::Introductions FlowRegistrar::introductions() const
{
    Introductions result;
    for (const auto& [agent, channel] : this->channels) {
        if (channel.incarnation != 0) {
            ++result.agents;
            result.replies += channel.hasReplied ? 1 : 0;
        }
    }
    return result;
}

size_t FlowRegistrar::pendingCount() const
{
    size_t count = 0;
    for (const auto& [agent, channel] : this->channels) {
        count += channel.pending.size();
    }
    return count;
}

} // namespace lavender
