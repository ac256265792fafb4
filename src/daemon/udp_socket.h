/** @file udp_socket.h Datagrams by GIO on the process's main loop. */
#pragma once

#include "core/address_type.h"

#include <absl/status/statusor.h>
#include <gio/gio.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <span>

namespace lavender {

/** A bound UDP socket. */
class UdpSocket {
public:
    using Receiver = std::function<void(Address from, std::span<const uint8_t> bytes)>;

    /** Binds @p address; @p receiver is called on the main loop for each datagram. */
    static absl::StatusOr<std::unique_ptr<UdpSocket>> open(Address address, Receiver receiver);

    ~UdpSocket();
    UdpSocket(const UdpSocket&) = delete;
    UdpSocket& operator=(const UdpSocket&) = delete;

    /** Sends one datagram; one that the kernel cannot take now is lost, as any may be. */
    void send(Address to, std::span<const uint8_t> bytes);

    /** Port that was bound; tells the one chosen for port 0. */
    Address boundAddress() const { return this->bound; }

private:
    UdpSocket() = default;
    static gboolean onReadable(GSocket* socket, GIOCondition condition, gpointer self);

    GSocket* socket = nullptr;
    GSource* source = nullptr;
    Address bound;
    Receiver receiver;
};

/** GIO's form of an address; the caller unrefs it. */
GSocketAddress* makeSocketAddress(Address address);
/** The address in GIO's form; not valid where it is no IPv4 address. */
Address fromSocketAddress(GSocketAddress* address);

} // namespace lavender
