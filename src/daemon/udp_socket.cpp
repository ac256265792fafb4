/** @file udp_socket.cpp Non-blocking UDP socket; one dispatch of the main loop reads a burst of datagrams. */
#include "daemon/udp_socket.h"

#include "daemon/bind_error.h"
#include "wire/message_type.h"

#include <sys/socket.h>

#include <array>

namespace lavender {

namespace {

    constexpr int maximumDatagramsPerDispatch = 256; ///< Then the main loop goes on, so that a flood of datagrams does not starve timers.
    constexpr int receiveBufferBytes = 4 << 20;

    TimePoint monotonicNow() { return TimePoint(g_get_monotonic_time()); }

} // namespace

GSocketAddress* makeSocketAddress(Address address)
{
    std::array<guint8, 4> bytes {};
    for (size_t index = 0; index < bytes.size(); ++index) {
        bytes[index] = static_cast<guint8>(address.host >> (8 * (bytes.size() - 1 - index)));
    }
    GInetAddress* host = g_inet_address_new_from_bytes(bytes.data(), G_SOCKET_FAMILY_IPV4);
    GSocketAddress* result = g_inet_socket_address_new(host, address.port);
    g_object_unref(host);
    return result;
}

Address fromSocketAddress(GSocketAddress* address)
{
    if (!G_IS_INET_SOCKET_ADDRESS(address)) {
        return {};
    }
    auto* inet = G_INET_SOCKET_ADDRESS(address);
    GInetAddress* host = g_inet_socket_address_get_address(inet);
    if (g_inet_address_get_family(host) != G_SOCKET_FAMILY_IPV4) {
        return {};
    }
    const guint8* bytes = g_inet_address_to_bytes(host);
    Address result;
    for (int index = 0; index < 4; ++index) {
        result.host = result.host << 8 | bytes[index];
    }
    result.port = g_inet_socket_address_get_port(inet);
    return result;
}

absl::StatusOr<std::unique_ptr<UdpSocket>> UdpSocket::open(Address address, Receiver receiver)
{
    GError* error = nullptr;
    std::unique_ptr<UdpSocket> result(new UdpSocket());
    result->receiver = std::move(receiver);
    result->socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, &error);
    if (result->socket == nullptr) {
        return makeBindError("UDP", address, error);
    }
    g_socket_set_blocking(result->socket, FALSE);
    g_socket_set_option(result->socket, SOL_SOCKET, SO_RCVBUF, receiveBufferBytes, nullptr);
    GSocketAddress* local = makeSocketAddress(address);
    const bool isBound = g_socket_bind(result->socket, local, FALSE, &error) != FALSE;
    g_object_unref(local);
    if (!isBound) {
        return makeBindError("UDP", address, error);
    }
    GSocketAddress* bound = g_socket_get_local_address(result->socket, nullptr);
    result->bound = fromSocketAddress(bound);
    g_object_unref(bound);
    result->emptyAt = monotonicNow();
    result->source = g_socket_create_source(result->socket, G_IO_IN, nullptr);
    g_source_set_callback(result->source, reinterpret_cast<GSourceFunc>(reinterpret_cast<void (*)()>(&UdpSocket::onReadable)), result.get(), nullptr);
    g_source_attach(result->source, nullptr);
    return result;
}

UdpSocket::~UdpSocket()
{
    if (this->source != nullptr) {
        g_source_destroy(this->source);
        g_source_unref(this->source);
    }
    if (this->socket != nullptr) {
        g_object_unref(this->socket);
    }
}

gboolean UdpSocket::onReadable(GSocket* socket, GIOCondition /*condition*/, gpointer self)
{
    auto* udp = static_cast<UdpSocket*>(self);
    const TimePoint begin = monotonicNow();
    std::array<uint8_t, maximumDatagramBytes + 1> buffer {}; // One byte more than allowed: a datagram that fills it is recognised as oversized.
    for (int count = 0; count < maximumDatagramsPerDispatch; ++count) {
        GSocketAddress* from = nullptr;
        const gssize size = g_socket_receive_from(socket, &from, reinterpret_cast<gchar*>(buffer.data()), buffer.size(), nullptr, nullptr);
        if (size < 0) {
            udp->emptyAt = begin;
            break;
        }
        const Address sender = fromSocketAddress(from);
        g_object_unref(from);
        udp->receiver(sender, std::span(buffer.data(), static_cast<size_t>(size)));
    }
    return G_SOURCE_CONTINUE;
}

Duration UdpSocket::longestWait() const
{
    return monotonicNow() - this->emptyAt;
}

void UdpSocket::checkEmpty()
{
    const TimePoint begin = monotonicNow();
    if (g_socket_condition_check(this->socket, G_IO_IN) == 0) {
        this->emptyAt = begin;
    }
}

void UdpSocket::send(Address to, std::span<const uint8_t> bytes)
{
    GSocketAddress* address = makeSocketAddress(to);
    g_socket_send_to(this->socket, address, reinterpret_cast<const gchar*>(bytes.data()), bytes.size(), nullptr, nullptr);
    g_object_unref(address);
}

} // namespace lavender
