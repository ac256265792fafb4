/** @file steering_base.h How a balancer chooses the agents for a packet, with simpler methods for comparison. */
#pragma once

#include "config/rule_type.h"
#include "core/time_type.h"
#include "member/member_table.h"
#include "steer/bucket_table.h"
#include "wire/message_type.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lavender {

/** Chooses the candidate agents for each packet of a flow. */
class Steering {
public:
    virtual ~Steering() = default;

    /** Rebuilds the state of one service after a change of its rule or agents; @p records may include agents of other services. */
    virtual void updateService(TimePoint now, const ServiceRule& service, const Configuration& configuration, std::span<const MemberRecord> records) = 0;

    /** Removes the state of all services that @p configuration does not define. */
    virtual void removeUnconfiguredServices(const Configuration& configuration) = 0;

    /**
     * Sets the service, home and candidates of a packet; the balancer sends it to the first candidate.
     * @return False if the service has no agent that can take the packet.
     */
    virtual bool selectCandidates(TimePoint now, const ServiceRule& service, ForwardedPacket& forwarded) const = 0;
};

/** The default: weighted rendezvous hashing over buckets. Agents that may own the flow from before a change are further candidates. */
class RendezvousSteering : public Steering {
public:
    RendezvousSteering() = default;

    /** @param isConsistentHashOnly Plain consistent hashing for comparison: equal weights, and the home is the only candidate. */
    explicit RendezvousSteering(bool isConsistentHashOnly)
        : isConsistentHashOnly(isConsistentHashOnly)
    {
    }

    void updateService(TimePoint now, const ServiceRule& service, const Configuration& configuration, std::span<const MemberRecord> records) override;
    void removeUnconfiguredServices(const Configuration& configuration) override;
    bool selectCandidates(TimePoint now, const ServiceRule& service, ForwardedPacket& forwarded) const override;

    /** The bucket table of a service; null if the service has no agent. */
    const BucketTable* tableOf(const ServiceRule& service) const;

private:
    /** Bucket table of one service. */
    struct Entry {
        BucketTable table;
        std::vector<BucketMember> members; ///< Members that the table was built from, to detect changes.
        TimePoint changedAt {}; ///< When the members last changed.
    };

    std::unordered_map<uint64_t, Entry> services; ///< By ServiceRule::nameHash.
    bool isConsistentHashOnly = false; ///< Equal weights, and the home is the only candidate.
};

/**
 * For flows of opaque packets: candidates in the balancer's availability zone come first. Copies of one opening packet
 * need not meet at one agent, since agents detect it if two upstreams answered them.
 */
class PacketSteering final : public RendezvousSteering {
public:
    /** @param zone Availability zone of the balancer, which is also that of the callers routed to it. */
    explicit PacketSteering(std::string_view zone)
        : zone(zone)
    {
    }

    void updateService(TimePoint now, const ServiceRule& service, const Configuration& configuration, std::span<const MemberRecord> records) override;
    void removeUnconfiguredServices(const Configuration& configuration) override;
    bool selectCandidates(TimePoint now, const ServiceRule& service, ForwardedPacket& forwarded) const override;

private:
    std::string zone;
    RendezvousSteering zoneSteering; ///< Bucket tables of the agents in the balancer's zone only.
};

/** The naive method for comparison: the flow's hash modulo the number of eligible agents gives the only candidate. */
class ModuloSteering final : public Steering {
public:
    void updateService(TimePoint now, const ServiceRule& service, const Configuration& configuration, std::span<const MemberRecord> records) override;
    void removeUnconfiguredServices(const Configuration& configuration) override;
    bool selectCandidates(TimePoint now, const ServiceRule& service, ForwardedPacket& forwarded) const override;

private:
    std::unordered_map<uint64_t, std::vector<Address>> services; ///< Eligible agents, by ServiceRule::nameHash.
};

/**
 * Creates a steering by name: "product" (RendezvousSteering), "packets" (PacketSteering), "naive" (ModuloSteering) or
 * "hash" (plain consistent hashing).
 * @param zone Availability zone of the balancer; only "packets" uses it.
 * @return Null for any other name.
 */
std::unique_ptr<Steering> makeSteering(std::string_view name, std::string_view zone);

} // namespace lavender
