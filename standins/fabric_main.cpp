/**
 * @file fabric_main.cpp Stand-in of the packet fabric: hands each packet of a caller to a random balancer, and brings packets
 * for callers back. Loses, doubles and delays with a seed.
 *
 * Options: {"port", "control_port", "seed", "loss_ppm", "duplicate_ppm", "delay_ppm"}.
 * Control: POST /balancers {"list": ["127.0.0.1:PORT", ...]}.
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

constexpr unsigned reorderDelayMilliseconds = 20;

class FabricStandin {
public:
    explicit FabricStandin(const Json& options)
        : random(options.value("seed", uint64_t { 1 }))
        , loss(options.value("loss_ppm", 0U))
        , duplicate(options.value("duplicate_ppm", 0U))
        , delay(options.value("delay_ppm", 0U))
    {
        auto opened = lavender::UdpSocket::open({ 0x7f000001, options.value("port", uint16_t { 0 }) }, [this](Address from, std::span<const uint8_t> bytes) { this->onDatagram(from, bytes); });
        if (!opened.ok()) {
            std::cerr << opened.status() << "\n";
            std::exit(3);
        }
        this->socket = std::move(*opened);
        SoupServer* server = standin::serve(options.value("control_port", uint16_t { 0 }));
        soup_server_add_handler(server, "/balancers", &FabricStandin::onBalancers, this, nullptr);
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
            this->callers[packet->flow.caller.host] = from;
            if (!this->balancers.empty()) {
                this->carry(this->balancers[this->random.below(static_cast<uint32_t>(this->balancers.size()))], bytes);
            }
            return;
        }
        const auto caller = this->callers.find(packet->flow.caller.host);
        if (caller != this->callers.end()) {
            this->carry(caller->second, bytes);
        }
    }

    void carry(Address to, std::span<const uint8_t> bytes)
    {
        const unsigned copies = this->random.chance(this->duplicate) ? 2 : 1;
        for (unsigned copy = 0; copy < copies; ++copy) {
            if (this->random.chance(this->loss)) {
                continue;
            }
            if (this->random.chance(this->delay)) {
                standin::after(this->random.below(reorderDelayMilliseconds) + 1, [this, to, late = lavender::Bytes(bytes.begin(), bytes.end())] { this->socket->send(to, late); });
            } else {
                this->socket->send(to, bytes);
            }
        }
    }

    static void onBalancers(SoupServer* /*server*/, SoupServerMessage* message, const char* /*path*/, GHashTable* /*query*/, gpointer data)
    {
        auto* self = static_cast<FabricStandin*>(data);
        self->balancers.clear();
        const Json body = standin::bodyOf(message);
        for (const Json& entry : body.value("list", Json::array())) {
            self->balancers.push_back(*lavender::parseAddress(entry.get<std::string>()));
        }
        standin::answerJson(message, SOUP_STATUS_OK, Json::object());
    }

    lavender::SeededRandom random;
    uint32_t loss;
    uint32_t duplicate;
    uint32_t delay;
    std::unique_ptr<lavender::UdpSocket> socket;
    std::vector<Address> balancers;
    std::map<uint32_t, Address> callers; ///< Where each caller's host really is.
};

} // namespace

int main(int argc, char** argv)
{
    const FabricStandin fabric(standin::readOptions(argc, argv));
    standin::runUntilSignal([] {});
    return 0;
}
