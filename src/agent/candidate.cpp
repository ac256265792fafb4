/** @file candidate.cpp Candidate list with one visited bit for each entry. */
#include "agent/candidate_func.h"

#include <algorithm>

namespace lavender {

size_t candidateIndex(ForwardedPacket& forwarded, Address agent)
{
    auto& list = forwarded.candidates;
    const auto found = std::find(list.begin(), list.end(), agent);
    if (found == list.end() && list.size() < maximumCandidates) {
        list.push_back(agent);
        return list.size() - 1;
    }
    return static_cast<size_t>(found - list.begin());
}

bool isVisited(const ForwardedPacket& forwarded, Address agent)
{
    const auto& list = forwarded.candidates;
    const auto found = std::find(list.begin(), list.end(), agent);
    return found != list.end() && (forwarded.visited >> (found - list.begin()) & 1U) != 0;
}

bool markVisited(ForwardedPacket& forwarded, Address agent)
{
    const size_t own = candidateIndex(forwarded, agent);
    if (own >= maximumCandidates) {
        return false;
    }
    forwarded.visited = static_cast<uint16_t>(forwarded.visited | 1U << own);
    return true;
}

} // namespace lavender
