/** @file steering_base.h A balancer's decision for one packet, and the naive versions that it is compared with. */
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

/** Chooses the agents that a packet is offered to. */
class Steering {
public:
    virtual ~Steering() = default;

    /** Takes the agents of one service after a change; @p records may hold other services' too. */
    virtual void update(TimePoint now, const ServiceRule& service, const Configuration& configuration, std::span<const MemberRecord> records) = 0;

    /** Forgets all services that @p configuration does not have. */
    virtual void retain(const Configuration& configuration) = 0;

    /**
     * Fills the candidates of a packet, the first being where it is sent.
     * @return False where the service has no agent.
     */
    virtual bool route(TimePoint now, const ServiceRule& service, ForwardedPacket& forwarded) const = 0;
};

/** The product's: rendezvous buckets, earlier owners behind the present ones. */
class RendezvousSteering : public Steering {
public:
    RendezvousSteering() = default;
    /** @param isPlain Consistent hashing alone: the home is the only candidate. For comparisons. */
    explicit RendezvousSteering(bool isPlain)
        : isPlain(isPlain)
    {
    }

    void update(TimePoint now, const ServiceRule& service, const Configuration& configuration, std::span<const MemberRecord> records) override;
    void retain(const Configuration& configuration) override;
    bool route(TimePoint now, const ServiceRule& service, ForwardedPacket& forwarded) const override;

    /** Null where the service has no agent. */
    const BucketTable* tableOf(const ServiceRule& service) const;

private:
    struct Entry {
        BucketTable table;
        std::vector<BucketMember> members; ///< What the table was built of.
        TimePoint changed {};
    };
    std::unordered_map<uint64_t, Entry> services; ///< By ServiceRule::nameHash.
    bool isPlain = false;
};

/** For opaque flows: agents recognise a flow that two upstreams answered, so that openings need not meet at one agent. */
class PacketSteering final : public RendezvousSteering {
public:
    /** @param zone Availability zone of the balancer, and so of the callers that are routed to it. */
    explicit PacketSteering(std::string_view zone)
        : zone(zone)
    {
    }

    void update(TimePoint now, const ServiceRule& service, const Configuration& configuration, std::span<const MemberRecord> records) override;
    void retain(const Configuration& configuration) override;
    bool route(TimePoint now, const ServiceRule& service, ForwardedPacket& forwarded) const override;

private:
    std::string zone;
    RendezvousSteering local; ///< Of the agents in the own zone.
};

/** Naive: the flow's hash modulo the number of eligible agents, no second candidate. */
class ModuloSteering final : public Steering {
public:
    void update(TimePoint now, const ServiceRule& service, const Configuration& configuration, std::span<const MemberRecord> records) override;
    void retain(const Configuration& configuration) override;
    bool route(TimePoint now, const ServiceRule& service, ForwardedPacket& forwarded) const override;

private:
    std::unordered_map<uint64_t, std::vector<Address>> services;
};

/** A steering for a balancer in @p zone, by its name: "product", "packets", "naive" or "hash"; none for another name. */
std::unique_ptr<Steering> makeSteering(std::string_view name, std::string_view zone);

} // namespace lavender
