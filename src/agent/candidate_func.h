/** @file candidate_func.h Candidate list of a forwarded packet, and which candidates the packet has visited. */
#pragma once

#include "wire/message_type.h"

namespace lavender {

/**
 * Finds an agent in the candidate list; appends it if it is missing.
 * @return Index of the agent, or maximumCandidates if the list is full.
 */
size_t candidateIndex(ForwardedPacket& forwarded, Address agent);

/** True if the packet has visited the agent. */
bool isVisited(const ForwardedPacket& forwarded, Address agent);

/**
 * Records that the packet has visited the agent.
 * @return False if the agent is missing from the candidate list and the list is full.
 */
bool markVisited(ForwardedPacket& forwarded, Address agent);

} // namespace lavender
