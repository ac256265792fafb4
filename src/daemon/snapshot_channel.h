/** @file snapshot_channel.h Snapshots over TCP: one request and one response, each a length in four bytes (big endian) and a message. */
#pragma once

#include "wire/message_type.h"

#include <absl/status/statusor.h>
#include <gio/gio.h>

#include <functional>
#include <memory>

namespace lavender {

/** Answers requests for a snapshot (SnapshotRequest) on a TCP port. */
class SnapshotServer {
public:
    /** Makes the snapshot for a request; called on the main loop. */
    using Provider = std::function<Snapshot(const SnapshotRequest&)>;

    /** Binds @p address and starts to serve. @return The error if the address cannot be bound: see makeBindError(). */
    static absl::StatusOr<std::unique_ptr<SnapshotServer>> open(Address address, Provider provider);
    ~SnapshotServer();
    SnapshotServer(const SnapshotServer&) = delete;
    SnapshotServer& operator=(const SnapshotServer&) = delete;

private:
    SnapshotServer() = default;
    static gboolean onIncoming(GSocketService* service, GSocketConnection* connection, GObject* source, gpointer self);

    GSocketService* service = nullptr;
    Provider provider;
};

/**
 * Fetches a snapshot from the process at @p from.
 * @param done Called once, on the main loop, with the snapshot or the error: Unavailable if the connection fails,
 * InvalidArgument if the response is too long, cannot be decoded or is not a snapshot.
 */
void fetchSnapshot(Address from, const SnapshotRequest& request, std::function<void(absl::StatusOr<Snapshot>)> done);

} // namespace lavender
