/** @file agent_move.cpp Moves the flows of a draining agent to the agents that the balancers will choose next. */
#include "agent/agent_base.h"

#include "core/hash_func.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr size_t movesPerTick = 200;
    constexpr Duration moveResendPeriod = 300ms; ///< An unanswered FlowMove is sent again after this time.

} // namespace

Address Agent::moveTarget(const FlowKey& flow) const
{
    const BucketChoice& choice = this->table.agentsFor(hashFlow(flow));
    for (uint16_t index : { choice.home, choice.second }) {
        if (index != BucketChoice::none && this->table.members()[index].address != this->settings.address) {
            return this->table.members()[index].address;
        }
    }
    return {};
}

void Agent::sendMove(TimePoint now, Flow& flow, Address target, Actions& actions)
{
    flow.movingTo = target;
    flow.moveSentAt = now;
    actions.push_back(SendMessage {
        target,
        FlowMove {
            this->serviceHash,
            flow.key,
            this->settings.address,
            flow.finished.watermark,
            flow.moveCount + 1,
        },
    });
}

void Agent::moveFlows(TimePoint now, Actions& actions)
{
    if (!this->settings.isChainingEnabled) {
        return;
    }
    if (!this->isHandingOff()) {
        // A move that has begun is completed even when draining stops: the other agent may already have taken the flow.
        const bool isAnyMoving = std::any_of(this->flows.begin(), this->flows.end(), [](const auto& entry) {
            return entry.second.movingTo.isValid();
        });
        if (!isAnyMoving) {
            return;
        }
    }
    size_t sent = 0;
    for (auto& [key, flow] : this->flows) {
        if (sent >= movesPerTick) {
            break;
        }
        if (flow.movingTo.isValid()) {
            const MemberRecord* target = this->peers.find(flow.movingTo);
            // Only the target knows whether it took the flow, so it is asked even if its availability zone has gone out since.
            if (target != nullptr && target->liveness == Liveness::Gone) {
                flow.movingTo = {};
            } else if (now - flow.moveSentAt >= moveResendPeriod) {
                this->sendMove(now, flow, flow.movingTo, actions);
                ++sent;
            }
            continue;
        }
        const Address target = this->isHandingOff() ? this->moveTarget(key) : Address {};
        if (!target.isValid() || !this->requests.isReadyToMove(now, flow)) {
            continue;
        }
        this->requests.discardBeforeMove(now, flow);
        flow.finished.raiseWatermarkToHighest();
        this->sendMove(now, flow, target, actions);
        ++sent;
    }
}

void Agent::handle(TimePoint now, const FlowMove& move, Actions& actions)
{
    if (move.service != this->serviceHash) {
        this->count.add(Counter::PacketsWrongService);
        return;
    }
    FlowMoveReply reply { .flow = move.flow, .responder = this->settings.address, .moveCount = move.moveCount, .isAccepted = true };
    if (const auto own = this->flows.find(move.flow);
        own != this->flows.end() && own->second.movingTo.isValid() && move.moveCount > own->second.moveCount + 1) {
        // The flow comes back from a later owner, so this agent's own move succeeded and only the reply was lost.
        this->completeMove(now, move.flow, move.from, own->second.moveCount + 1);
    }
    const auto foreign = this->foreignFlows.find(move.flow);
    // Late copy of a move that this agent accepted earlier: the flow has since ended here or moved on.
    const bool isStale = foreign != this->foreignFlows.end()
        && (foreign->second.kind != ForeignFlowKind::OwnedElsewhere || foreign->second.moveCount >= move.moveCount);
    if (!isStale && !this->flows.contains(move.flow)) {
        reply.isAccepted = this->canAcceptFlow();
        if (reply.isAccepted) {
            Flow& flow = this->flows[move.flow];
            flow.key = move.flow;
            flow.lastPacketAt = now;
            flow.finished.watermark = move.finishedThrough;
            flow.moveCount = move.moveCount;
            this->foreignFlows.erase(move.flow);
            this->lookups.erase(move.flow);
            this->searches.erase(move.flow);
            this->count.add(Counter::FlowsReceived);
        }
    }
    actions.push_back(SendMessage { move.from, reply });
}

void Agent::handle(TimePoint now, const FlowMoveReply& reply)
{
    const auto found = this->flows.find(reply.flow);
    if (found == this->flows.end() || found->second.movingTo != reply.responder || found->second.moveCount + 1 != reply.moveCount) {
        return;
    }
    if (!reply.isAccepted) {
        found->second.movingTo = {};
        return;
    }
    this->completeMove(now, reply.flow, reply.responder, reply.moveCount);
}

void Agent::completeMove(TimePoint now, const FlowKey& flow, Address owner, uint32_t moveCount)
{
    this->flows.erase(flow);
    this->remember(now, flow, ForeignFlowKind::OwnedElsewhere, owner).moveCount = moveCount;
    this->count.add(Counter::FlowsMoved);
}

} // namespace lavender
