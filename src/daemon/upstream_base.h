/** @file upstream_base.h Client of the upstream that an agent fronts. */
#pragma once

#include "agent/agent_base.h"
#include "core/action_type.h"

#include <libsoup/soup.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lavender {

/** Client of one upstream. Callbacks are called on the main loop. */
class Upstream {
public:
    virtual ~Upstream() = default;
    /** Sends a request to the upstream; @p done gets the result, once, unless it is cancelled before. */
    virtual void handOver(const StartUpstreamRequest& handOver, std::function<void(UpstreamResult)> done) = 0;
    /** Cancels a request: its connection is closed and its callback is not called. */
    virtual void cancel(UpstreamRequestId id) = 0;
    /** Queries the health endpoint; @p done gets the result: not reachable unless the response is a JSON object. */
    virtual void checkHealth(std::function<void(UpstreamHealth)> done) = 0;
};

/** Client of an upstream that speaks HTTP/1.1, with libsoup. */
class HttpUpstream final : public Upstream {
public:
    /** @param url Base URL; the name of the service and "/health" are appended to it. */
    explicit HttpUpstream(std::string url);
    ~HttpUpstream() override;
    HttpUpstream(const HttpUpstream&) = delete;
    HttpUpstream& operator=(const HttpUpstream&) = delete;

    void handOver(const StartUpstreamRequest& handOver, std::function<void(UpstreamResult)> done) override;
    void cancel(UpstreamRequestId id) override;
    void checkHealth(std::function<void(UpstreamHealth)> done) override;

private:
    struct Exchange;
    struct HealthCheck;
    static void onResponse(GObject* source, GAsyncResult* result, gpointer data);
    static void onHealthResponse(GObject* source, GAsyncResult* result, gpointer data);

    std::string url;
    SoupSession* session;
    std::map<uint64_t, Exchange*> exchanges; ///< Requests in progress that are not cancelled, by UpstreamRequestId.
};

} // namespace lavender
