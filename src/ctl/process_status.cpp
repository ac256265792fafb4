/** @file process_status.cpp Queries processes for their state by UDP. */
#include "ctl/process_status_func.h"

#include "core/address_type.h"
#include "daemon/process_base.h"
#include "daemon/udp_socket.h"
#include "store/http_store.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <map>

namespace lavender {

namespace {

    using Json = nlohmann::ordered_json;

    constexpr Duration statusTimeout = 1s; ///< For the replies of all processes together.

    /**
     * Sends each process one status request by UDP and prints the replies that arrive within statusTimeout.
     * @return Exit code: exitUnavailable if a reply is missing.
     */
    int queryStatus(const std::vector<Address>& addresses, bool isJson)
    {
        MainLoop loop;
        const CerealEncapsulation encapsulation;
        std::map<Address, Json> replies;
        auto socket = UdpSocket::open({ 0x7f000001, 0 }, [&](Address from, std::span<const uint8_t> bytes) {
            const absl::StatusOr<Message> message = encapsulation.decode(bytes);
            const auto* reply = message.ok() ? std::get_if<StatusReply>(&*message) : nullptr;
            if (reply != nullptr) {
                replies[from] = Json::parse(reply->json, nullptr, false);
            }
            if (replies.size() == addresses.size()) {
                loop.quit();
            }
        });
        if (!socket.ok()) {
            std::cerr << "lavenderctl: " << socket.status().message() << "\n";
            return exitUnavailable;
        }
        for (Address address : addresses) {
            (*socket)->send(address, encapsulation.encode(StatusRequest { 1 }));
        }
        LoopTimer timer;
        timer.startOnce(statusTimeout, [&loop] { loop.quit(); });
        if (!addresses.empty()) {
            loop.run();
        }
        Json list = Json::array();
        for (Address address : addresses) {
            const auto reply = replies.find(address);
            Json entry = reply == replies.end() ? Json { { "address", formatAddress(address) }, { "answered", false } } : reply->second;
            if (!isJson) {
                std::cout << entry.dump() << "\n";
            }
            list.push_back(std::move(entry));
        }
        if (isJson) {
            std::cout << list.dump() << "\n";
        }
        return replies.size() == addresses.size() ? exitDone : exitUnavailable;
    }

} // namespace

int runStatus(const CommandLine& commandLine)
{
    std::vector<Address> addresses;
    for (size_t index = 1; index < commandLine.arguments.size(); ++index) {
        const absl::StatusOr<Address> address = parseAddress(commandLine.arguments[index]);
        if (!address.ok()) {
            std::cerr << "lavenderctl: " << address.status().message() << "\n";
            return exitUsage;
        }
        addresses.push_back(*address);
    }
    if (!addresses.empty()) {
        return queryStatus(addresses, commandLine.isJson);
    }
    HttpStore store(commandLine.storeUrl, storeTimeout);
    MainLoop loop;
    bool isListRead = false;
    store.list(balancersPrefix, [&](const absl::StatusOr<std::vector<StoreValue>>& values) {
        isListRead = values.ok();
        for (const StoreValue& value : values.ok() ? *values : std::vector<StoreValue>()) {
            const absl::StatusOr<Address> address = parseAddress(std::string_view(value.key).substr(balancersPrefix.size()));
            if (address.ok()) {
                addresses.push_back(*address);
            }
        }
        loop.quit();
    });
    loop.run();
    if (!isListRead) {
        std::cerr << "lavenderctl: the list of balancers cannot be read from the store\n";
        return exitUnavailable;
    }
    return queryStatus(addresses, commandLine.isJson);
}

} // namespace lavender
