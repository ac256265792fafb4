/** @file listener_check.h Whether a process listens at a TCP address, found out by opening a connection. */
#pragma once

#include "daemon/process_base.h"

#include <gio/gio.h>

#include <functional>

namespace lavender {

/** Tries one connection to an address of the same instance, without blocking. */
class ListenerCheck {
public:
    using Done = std::function<void(bool isRefused)>;

    ListenerCheck() = default;
    ~ListenerCheck() { this->close(); }
    ListenerCheck(const ListenerCheck&) = delete;
    ListenerCheck& operator=(const ListenerCheck&) = delete;

    /**
     * Starts a check; replaces one that is under way.
     * @param timeout Longest time to wait.
     * @param done Called once: @c isRefused is true if nothing listens there, false if something does or the time is over.
     */
    void start(Address address, Duration timeout, Done done);

private:
    static gboolean onWritable(GSocket* socket, GIOCondition condition, gpointer self);
    void finish(bool isRefused);
    void close();

    GSocket* socket = nullptr;
    GSource* source = nullptr;
    LoopTimer timer;
    Done done;
};

} // namespace lavender
