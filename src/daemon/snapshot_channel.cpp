/** @file snapshot_channel.cpp Length-prefixed messages on GIO streams. */
#include "daemon/snapshot_channel.h"

#include "core/text_func.h"
#include "daemon/bind_error.h"
#include "daemon/udp_socket.h"
#include "wire/codec_func.h"

#include <array>
#include <utility>

namespace lavender {

namespace {

    constexpr guint socketTimeoutSeconds = 3; ///< For connecting, and for each read or write on a connection.
    constexpr size_t headerBytes = 4; ///< The header of a frame is the length of the message.

    using MessageCallback = std::function<void(absl::StatusOr<Message>)>;

    /** Converts an error of GIO and frees it; null means that the peer closed the connection. */
    absl::Status toStatus(GError* error)
    {
        absl::Status status = absl::UnavailableError(error == nullptr ? "connection closed" : error->message);
        g_clear_error(&error);
        return status;
    }

    /** Encodes a message with its length in front. */
    Bytes encodeFrame(const Message& message)
    {
        const Bytes body = encodeMessage(message);
        Bytes result;
        for (size_t index = 0; index < headerBytes; ++index) {
            result.push_back(static_cast<uint8_t>(body.size() >> (8 * (headerBytes - 1 - index)) & 255U));
        }
        result.insert(result.end(), body.begin(), body.end());
        return result;
    }

    /** Reads one frame asynchronously; deletes itself after calling @c done. */
    struct FrameReader {
        GIOStream* stream;
        size_t limit; ///< Longest message that is accepted, in bytes.
        MessageCallback done;
        std::array<uint8_t, headerBytes> header {};
        Bytes body;

        void finish(absl::StatusOr<Message> message)
        {
            const std::unique_ptr<FrameReader> self(this);
            self->done(std::move(message));
            g_object_unref(self->stream);
        }

        static void onBody(GObject* source, GAsyncResult* result, gpointer data)
        {
            auto* reader = static_cast<FrameReader*>(data);
            gsize size = 0;
            GError* error = nullptr;
            if (g_input_stream_read_all_finish(G_INPUT_STREAM(source), result, &size, &error) == FALSE || size < reader->body.size()) {
                reader->finish(toStatus(error));
                return;
            }
            reader->finish(decodeMessage(reader->body));
        }

        static void onHeader(GObject* source, GAsyncResult* result, gpointer data)
        {
            auto* reader = static_cast<FrameReader*>(data);
            gsize size = 0;
            GError* error = nullptr;
            if (g_input_stream_read_all_finish(G_INPUT_STREAM(source), result, &size, &error) == FALSE || size < headerBytes) {
                reader->finish(toStatus(error));
                return;
            }
            size_t length = 0;
            for (uint8_t byte : reader->header) {
                length = length << 8U | byte;
            }
            if (length > reader->limit) {
                reader->finish(absl::InvalidArgumentError(concat("message of ", length, " bytes: expected at most ", reader->limit)));
                return;
            }
            reader->body.resize(length);
            g_input_stream_read_all_async(G_INPUT_STREAM(source), reader->body.data(), length, G_PRIORITY_DEFAULT, nullptr, onBody, reader);
        }
    };

    void readFrame(GIOStream* stream, size_t limit, MessageCallback done)
    {
        auto* reader = new FrameReader {
            .stream = G_IO_STREAM(g_object_ref(stream)),
            .limit = limit,
            .done = std::move(done),
        };
        g_input_stream_read_all_async(g_io_stream_get_input_stream(stream), reader->header.data(), headerBytes, G_PRIORITY_DEFAULT, nullptr, FrameReader::onHeader, reader);
    }

    /** Writes one frame asynchronously; deletes itself after calling @c done. */
    struct FrameWriter {
        GIOStream* stream;
        Bytes bytes;
        std::function<void(bool)> done;

        static void onWritten(GObject* source, GAsyncResult* result, gpointer data)
        {
            const std::unique_ptr<FrameWriter> writer(static_cast<FrameWriter*>(data));
            const bool isWritten = g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result, nullptr, nullptr) != FALSE;
            writer->done(isWritten);
            g_object_unref(writer->stream);
        }
    };

    void writeFrame(GIOStream* stream, const Message& message, std::function<void(bool)> done)
    {
        auto* writer = new FrameWriter { G_IO_STREAM(g_object_ref(stream)), encodeFrame(message), std::move(done) };
        g_output_stream_write_all_async(g_io_stream_get_output_stream(stream), writer->bytes.data(), writer->bytes.size(), G_PRIORITY_DEFAULT, nullptr, FrameWriter::onWritten, writer);
    }

    /** A request for a snapshot in progress. */
    struct SnapshotFetch {
        SnapshotRequest request;
        std::function<void(absl::StatusOr<Snapshot>)> done;

        static void onConnected(GObject* source, GAsyncResult* result, gpointer data)
        {
            std::shared_ptr<SnapshotFetch> fetch(static_cast<SnapshotFetch*>(data));
            GError* error = nullptr;
            GSocketConnection* connection = g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, &error);
            if (connection == nullptr) {
                fetch->done(toStatus(error));
                return;
            }
            GIOStream* stream = G_IO_STREAM(connection);
            writeFrame(stream, fetch->request, [stream, fetch](bool isWritten) {
                if (!isWritten) {
                    fetch->done(absl::UnavailableError("snapshot request could not be sent: connection closed"));
                    return;
                }
                readFrame(stream, maximumSnapshotBytes, [fetch](absl::StatusOr<Message> message) {
                    if (!message.ok()) {
                        fetch->done(message.status());
                    } else if (auto* snapshot = std::get_if<Snapshot>(&*message)) {
                        fetch->done(std::move(*snapshot));
                    } else {
                        fetch->done(absl::InvalidArgumentError("unexpected message type: expected a snapshot"));
                    }
                });
            });
            g_object_unref(connection);
        }
    };

} // namespace

absl::StatusOr<std::unique_ptr<SnapshotServer>> SnapshotServer::open(Address address, Provider provider)
{
    std::unique_ptr<SnapshotServer> server(new SnapshotServer());
    server->provider = std::move(provider);
    server->service = g_socket_service_new();
    GError* error = nullptr;
    GSocketAddress* local = makeSocketAddress(address);
    const bool isBound = g_socket_listener_add_address(G_SOCKET_LISTENER(server->service), local, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, &error) != FALSE;
    g_object_unref(local);
    if (!isBound) {
        return makeBindError("TCP", address, error);
    }
    g_signal_connect(server->service, "incoming", G_CALLBACK(&SnapshotServer::onIncoming), server.get());
    g_socket_service_start(server->service);
    return server;
}

SnapshotServer::~SnapshotServer()
{
    if (this->service != nullptr) {
        g_socket_service_stop(this->service);
        g_socket_listener_close(G_SOCKET_LISTENER(this->service));
        g_object_unref(this->service);
    }
}

gboolean SnapshotServer::onIncoming(GSocketService* /*service*/, GSocketConnection* connection, GObject* /*source*/, gpointer self)
{
    auto* server = static_cast<SnapshotServer*>(self);
    g_socket_set_timeout(g_socket_connection_get_socket(connection), socketTimeoutSeconds);
    GIOStream* stream = G_IO_STREAM(connection);
    readFrame(stream, maximumDatagramBytes, [server, stream](absl::StatusOr<Message> message) {
        const auto* request = message.ok() ? std::get_if<SnapshotRequest>(&*message) : nullptr;
        if (request != nullptr) {
            writeFrame(stream, server->provider(*request), [](bool /*isWritten*/) {});
        }
    });
    return TRUE;
}

void fetchSnapshot(Address from, const SnapshotRequest& request, std::function<void(absl::StatusOr<Snapshot>)> done)
{
    GSocketClient* client = g_socket_client_new();
    g_socket_client_set_enable_proxy(client, FALSE);
    g_socket_client_set_timeout(client, socketTimeoutSeconds);
    GSocketAddress* address = makeSocketAddress(from);
    g_socket_client_connect_async(client, G_SOCKET_CONNECTABLE(address), nullptr, &SnapshotFetch::onConnected, new SnapshotFetch { request, std::move(done) });
    g_object_unref(address);
    g_object_unref(client);
}

} // namespace lavender
