/** @file steering.cpp Builds the candidate list of a packet from bucket tables. */
#include "steer/steering_base.h"

#include "core/hash_func.h"

#include <algorithm>

namespace lavender {

namespace {

    /** How long after a change other balancers and agents may still use the previous membership view. */
    constexpr Duration viewConvergenceTime = 10s;

    /** Appends a candidate unless it is already in the list. */
    void addCandidate(ForwardedPacket& forwarded, Address candidate)
    {
        auto& list = forwarded.candidates;
        if (std::find(list.begin(), list.end(), candidate) == list.end()) {
            list.push_back(candidate);
        }
    }

    /**
     * The agent that balancers with a different membership view may regard as the home. An opening packet visits it
     * first, so that copies sent by balancers with different views meet at one agent and get a single owner.
     */
    uint16_t previousHome(const BucketChoice& choice)
    {
        return choice.ranked[0] != choice.home ? choice.ranked[0] : choice.second;
    }

    /** Appends further eligible members, starting at a position given by the part of the hash that does not select the bucket. */
    void addRemainingEligible(ForwardedPacket& forwarded, const BucketTable* table, uint64_t hash)
    {
        constexpr size_t maximumOpeningCandidates = 12;
        const auto members = table == nullptr ? std::span<const BucketMember>() : table->members();
        for (size_t step = 0; step < members.size() && forwarded.candidates.size() < maximumOpeningCandidates; ++step) {
            const BucketMember& member = members[(hash / bucketCount + step) % members.size()];
            if (member.isEligible) {
                addCandidate(forwarded, member.address);
            }
        }
    }

    bool areMembersEqual(std::span<const BucketMember> left, std::span<const BucketMember> right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const BucketMember& one, const BucketMember& other) {
            return one.address == other.address && one.weight == other.weight && one.isEligible == other.isEligible;
        });
    }

} // namespace

void RendezvousSteering::updateService(TimePoint now, const ServiceRule& service, const Configuration& configuration, std::span<const MemberRecord> records)
{
    std::vector<BucketMember> members = bucketMembers(records, service, configuration);
    if (this->isConsistentHashOnly) {
        std::for_each(members.begin(), members.end(), [](BucketMember& member) { member.weight = 1; });
    }
    const auto [found, isNew] = this->services.try_emplace(service.nameHash);
    Entry& entry = found->second;
    if (!isNew && areMembersEqual(entry.members, members)) {
        return;
    }
    entry.members = members;
    entry.table = BucketTable(std::move(members));
    entry.changedAt = now;
}

void RendezvousSteering::removeUnconfiguredServices(const Configuration& configuration)
{
    std::erase_if(this->services, [&configuration](const auto& entry) { return !configuration.serviceByHash.contains(entry.first); });
}

const BucketTable* RendezvousSteering::tableOf(const ServiceRule& service) const
{
    const auto found = this->services.find(service.nameHash);
    return found == this->services.end() || found->second.table.isEmpty() ? nullptr : &found->second.table;
}

bool RendezvousSteering::selectCandidates(TimePoint now, const ServiceRule& service, ForwardedPacket& forwarded) const
{
    const auto found = this->services.find(service.nameHash);
    if (found == this->services.end() || found->second.table.isEmpty()) {
        return false;
    }
    const Entry& entry = found->second;
    const auto members = entry.table.members();
    const BucketChoice& choice = entry.table.agentsFor(hashFlow(forwarded.packet.flow));
    forwarded.service = service.nameHash;
    forwarded.candidates.clear();
    if (choice.home == BucketChoice::none && forwarded.packet.mark == PacketMark::Opening) {
        return false;
    }
    if (this->isConsistentHashOnly) {
        forwarded.home = choice.home == BucketChoice::none ? members[choice.ranked[0]].address : members[choice.home].address;
        forwarded.candidates = { forwarded.home };
        return true;
    }
    if (choice.home != BucketChoice::none) {
        forwarded.home = members[choice.home].address;
        const uint16_t previous = previousHome(choice);
        const bool isConverging = now - entry.changedAt < viewConvergenceTime;
        if (forwarded.packet.mark == PacketMark::Opening && isConverging && previous != BucketChoice::none) {
            addCandidate(forwarded, members[previous].address);
        }
        addCandidate(forwarded, forwarded.home);
        if (choice.second != BucketChoice::none) {
            addCandidate(forwarded, members[choice.second].address);
        }
    }
    for (uint16_t index : choice.ranked) {
        if (index != BucketChoice::none) {
            addCandidate(forwarded, members[index].address);
        }
    }
    return true;
}

void PacketSteering::updateService(TimePoint now, const ServiceRule& service, const Configuration& configuration, std::span<const MemberRecord> records)
{
    RendezvousSteering::updateService(now, service, configuration, records);
    std::vector<MemberRecord> zoneRecords;
    std::copy_if(records.begin(), records.end(), std::back_inserter(zoneRecords), [this](const MemberRecord& record) { return record.zone == this->zone; });
    this->zoneSteering.updateService(now, service, configuration, zoneRecords);
}

void PacketSteering::removeUnconfiguredServices(const Configuration& configuration)
{
    RendezvousSteering::removeUnconfiguredServices(configuration);
    this->zoneSteering.removeUnconfiguredServices(configuration);
}

/** Prefers agents of the callers' zone: traffic within a zone is faster and unaffected by a network partition between zones. */
bool PacketSteering::selectCandidates(TimePoint /*now*/, const ServiceRule& service, ForwardedPacket& forwarded) const
{
    const uint64_t hash = hashFlow(forwarded.packet.flow);
    const bool isOpening = forwarded.packet.mark == PacketMark::Opening;
    forwarded.service = service.nameHash;
    forwarded.candidates.clear();
    for (const BucketTable* table : { this->zoneSteering.tableOf(service), this->tableOf(service) }) {
        if (table == nullptr) {
            continue;
        }
        const auto members = table->members();
        const BucketChoice& choice = table->agentsFor(hash);
        for (uint16_t index : { choice.home, choice.second }) {
            if (index != BucketChoice::none) {
                addCandidate(forwarded, members[index].address);
            }
        }
        for (uint16_t index : choice.ranked) {
            if (index != BucketChoice::none && (!isOpening || members[index].isEligible)) {
                addCandidate(forwarded, members[index].address);
            }
        }
    }
    if (isOpening) {
        addRemainingEligible(forwarded, this->tableOf(service), hash);
    }
    if (forwarded.candidates.empty()) {
        return false;
    }
    forwarded.home = forwarded.candidates.front();
    return true;
}

void ModuloSteering::updateService(TimePoint /*now*/, const ServiceRule& service, const Configuration& configuration, std::span<const MemberRecord> records)
{
    std::vector<Address>& agents = this->services[service.nameHash];
    agents.clear();
    for (const BucketMember& member : bucketMembers(records, service, configuration)) {
        if (member.isEligible && member.weight > 0) {
            agents.push_back(member.address);
        }
    }
}

void ModuloSteering::removeUnconfiguredServices(const Configuration& configuration)
{
    std::erase_if(this->services, [&configuration](const auto& entry) { return !configuration.serviceByHash.contains(entry.first); });
}

bool ModuloSteering::selectCandidates(TimePoint /*now*/, const ServiceRule& service, ForwardedPacket& forwarded) const
{
    const auto found = this->services.find(service.nameHash);
    if (found == this->services.end() || found->second.empty()) {
        return false;
    }
    forwarded.service = service.nameHash;
    forwarded.candidates = { found->second[hashFlow(forwarded.packet.flow) % found->second.size()] };
    forwarded.home = forwarded.candidates.front();
    return true;
}

std::unique_ptr<Steering> makeSteering(std::string_view name, std::string_view zone)
{
    if (name == "product") {
        return std::make_unique<RendezvousSteering>();
    }
    if (name == "naive") {
        return std::make_unique<ModuloSteering>();
    }
    if (name == "packets") {
        return std::make_unique<PacketSteering>(zone);
    }
    if (name == "hash") {
        return std::make_unique<RendezvousSteering>(true);
    }
    return nullptr;
}

} // namespace lavender
