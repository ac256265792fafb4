/** @file udp_socket_test.cpp How long a received datagram may have waited in its socket. */
#include "daemon/udp_socket.h"

#include <array>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace lavender;

TEST_GROUP(UdpSocket) {};

/** A process that was suspended must not take what waited meanwhile for new, and one that was not must not take new datagrams for old. */
TEST(UdpSocket, ADatagramMayHaveWaitedSinceTheSocketWasLastSeenEmpty)
{
    constexpr Duration pause = 5ms;
    std::unique_ptr<UdpSocket> receiver;
    std::optional<Duration> wait;
    receiver = *UdpSocket::open({ 0x7F000001, 0 }, [&](Address /*from*/, std::span<const uint8_t> /*bytes*/) { wait = receiver->longestWait(); });
    const auto sender = *UdpSocket::open({ 0x7F000001, 0 }, [](Address /*from*/, std::span<const uint8_t> /*bytes*/) {});
    const auto sendAndReceive = [&](Duration pauseBefore) {
        const std::array<uint8_t, 1> datagram { 1 };
        const gint64 begin = g_get_monotonic_time();
        receiver->checkEmpty();
        sender->send(receiver->boundAddress(), datagram);
        g_usleep(static_cast<gulong>(pauseBefore.count()));
        receiver->checkEmpty(); // Not empty: the datagram waits.
        for (wait.reset(); !wait;) {
            g_main_context_iteration(nullptr, TRUE);
        }
        return Duration(g_get_monotonic_time() - begin);
    };
    (void)sendAndReceive(pause);
    CHECK_TRUE(*wait >= pause);
    g_usleep(static_cast<gulong>(pause.count()));
    const Duration elapsed = sendAndReceive(0ms);
    CHECK_TRUE(*wait <= elapsed);
}
