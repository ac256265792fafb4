/** @file udp_socket.h Non-blocking UDP socket, with GIO on the main loop. */
#pragma once

#include "core/address_type.h"
#include "core/time_type.h"

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

    /**
     * Binds @p address and starts to receive.
     * @param receiver Called on the main loop for each datagram. One that is too large comes cut to maximumDatagramBytes + 1 bytes.
     * @return The error if the socket cannot be created or bound: see makeBindError().
     */
    static absl::StatusOr<std::unique_ptr<UdpSocket>> open(Address address, Receiver receiver);

    ~UdpSocket();
    UdpSocket(const UdpSocket&) = delete;
    UdpSocket& operator=(const UdpSocket&) = delete;

    /** Sends one datagram without blocking. Errors are ignored, such as a full send buffer: UDP may lose any datagram. */
    void send(Address to, std::span<const uint8_t> bytes);

    /** Longest time that the datagram that the receiver handles now may have waited in the socket. */
    Duration longestWait() const;

    /** Notes it if no datagram waits. Called regularly, it keeps longestWait() short where few datagrams arrive. */
    void checkEmpty();

    /** Address that was bound; for port 0 it has the port that the kernel chose. */
    Address boundAddress() const { return this->bound; }

private:
    UdpSocket() = default;
    static gboolean onReadable(GSocket* socket, GIOCondition condition, gpointer self);

    GSocket* socket = nullptr;
    GSource* source = nullptr;
    Address bound;
    Receiver receiver;
    TimePoint emptyAt {}; ///< When the socket was last seen empty.
};

/** Converts an address to GIO's type; whoever calls this owns the result and releases it with g_object_unref(). */
GSocketAddress* makeSocketAddress(Address address);
/** Converts an address from GIO's type; the result is not valid if @p address is not IPv4. */
Address fromSocketAddress(GSocketAddress* address);

} // namespace lavender
