/** @file snapshot_channel.h Snapshots over TCP: a length in four bytes, then one message, each way. */
#pragma once

#include "wire/message_type.h"

#include <absl/status/statusor.h>
#include <gio/gio.h>

#include <functional>
#include <memory>

namespace lavender {

/** Answers SnapshotAsk on a TCP port. */
class SnapshotServer {
public:
    using Maker = std::function<Snapshot(const SnapshotAsk&)>;

    static absl::StatusOr<std::unique_ptr<SnapshotServer>> open(Address address, Maker maker);
    ~SnapshotServer();
    SnapshotServer(const SnapshotServer&) = delete;
    SnapshotServer& operator=(const SnapshotServer&) = delete;

private:
    SnapshotServer() = default;
    static gboolean onIncoming(GSocketService* service, GSocketConnection* connection, GObject* source, gpointer self);

    GSocketService* service = nullptr;
    Maker maker;
};

/** Asks @p from for a snapshot; @p done is called on the main loop, once. */
void fetchSnapshot(Address from, const SnapshotAsk& ask, std::function<void(absl::StatusOr<Snapshot>)> done);

} // namespace lavender
