/**
 * @file fabric_main.cpp Simulated router in front of the balancers: sends each packet from a caller to a random
 * balancer, and packets to callers back to them. Loses, duplicates and reorders packets at random, from a seed.
 *
 * Options: {"port", "control_port", "seed", "loss_ppm", "duplicate_ppm", "delay_ppm"}; the last three are
 * chances per packet, in parts per million.
 * Control: POST /balancers {"list": ["127.0.0.1:PORT", ...]} sets the balancers that packets are sent to.
 */
#include "core/random_base.h"
#include "daemon/udp_socket.h"
#include "standin_func.h"
#include "wire/codec_func.h"

#include <iostream>
#include <map>
#include <memory>
#include <vector>

namespace {

using lavender::Address;
using standin::Json;

constexpr unsigned maximumDelayMilliseconds = 20; ///< Delayed packets are overtaken by later ones.

class FabricStandin {
public:
    explicit FabricStandin(const Json& options)
        : random(options.value("seed", uint64_t { 1 }))
        , lossPartsPerMillion(options.value("loss_ppm", 0U))
        , duplicatePartsPerMillion(options.value("duplicate_ppm", 0U))
        , delayPartsPerMillion(options.value("delay_ppm", 0U))
    {
        auto opened = lavender::UdpSocket::open({ 0x7f000001, options.value("port", uint16_t { 0 }) }, [this](Address from, std::span<const uint8_t> bytes) {
            this->onDatagram(from, bytes);
        });
        if (!opened.ok()) {
            std::cerr << opened.status() << "\n";
            std::exit(3);
        }
        this->socket = std::move(*opened);
        SoupServer* server = standin::startServer(options.value("control_port", uint16_t { 0 }));
        soup_server_add_handler(server, "/balancers", &FabricStandin::onSetBalancers, this, nullptr);
    }

private:
    void onDatagram(Address from, std::span<const uint8_t> bytes)
    {
        const absl::StatusOr<lavender::Message> message = lavender::decodeMessage(bytes);
        const auto* packet = message.ok() ? std::get_if<lavender::FlowPacket>(&*message) : nullptr;
        if (packet == nullptr) {
            return;
        }
        if (!packet->isToCaller) {
            this->callerAddresses[packet->flow.caller.host] = from;
            if (!this->balancers.empty()) {
                this->sendWithFaults(this->balancers[this->random.below(static_cast<uint32_t>(this->balancers.size()))], bytes);
            }
            return;
        }
        const auto caller = this->callerAddresses.find(packet->flow.caller.host);
        if (caller != this->callerAddresses.end()) {
            this->sendWithFaults(caller->second, bytes);
        }
    }

    /** Sends a packet with random loss, duplication and delay. Each copy is lost or delayed on its own. */
    void sendWithFaults(Address to, std::span<const uint8_t> bytes)
    {
        const unsigned copies = this->random.chance(this->duplicatePartsPerMillion) ? 2 : 1;
        for (unsigned copy = 0; copy < copies; ++copy) {
            if (this->random.chance(this->lossPartsPerMillion)) {
                continue;
            }
            if (this->random.chance(this->delayPartsPerMillion)) {
                standin::runAfter(this->random.below(maximumDelayMilliseconds) + 1, [this, to, delayedBytes = lavender::Bytes(bytes.begin(), bytes.end())] {
                    this->socket->send(to, delayedBytes);
                });
            } else {
                this->socket->send(to, bytes);
            }
        }
    }

    static void onSetBalancers(SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/, GHashTable* /*query*/, gpointer data)
    {
        auto* self = static_cast<FabricStandin*>(data);
        self->balancers.clear();
        const Json body = standin::parseRequestBody(message);
        for (const Json& entry : body.value("list", Json::array())) {
            self->balancers.push_back(*lavender::parseAddress(entry.get<std::string>()));
        }
        standin::respondJson(message, SOUP_STATUS_OK, Json::object());
    }

    lavender::SeededRandom random;
    uint32_t lossPartsPerMillion; ///< Chance that a copy is lost.
    uint32_t duplicatePartsPerMillion; ///< Chance that a packet is sent twice.
    uint32_t delayPartsPerMillion; ///< Chance that a copy is delayed, and so reordered.
    std::unique_ptr<lavender::UdpSocket> socket;
    std::vector<Address> balancers; ///< Where packets from callers are sent; without any they are dropped.
    std::map<uint32_t, Address> callerAddresses; ///< Socket address by the simulated host of the caller, as last seen.
};

} // namespace

int main(int argc, char** argv)
{
    const FabricStandin fabric(standin::readOptions(argc, argv));
    standin::runUntilSignal([] {});
    return 0;
}
