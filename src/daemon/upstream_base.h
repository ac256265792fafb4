/** @file upstream_base.h How an agent reaches the upstream beside it. */
#pragma once

#include "agent/agent_base.h"
#include "core/action_type.h"

#include <libsoup/soup.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lavender {

/** One upstream; results come on the main loop. */
class Upstream {
public:
    virtual ~Upstream() = default;
    virtual void handOver(const HandOver& handOver, std::function<void(UpstreamResult)> done) = 0;
    /** Ends an exchange; its result no longer comes. */
    virtual void cancel(HandOverId id) = 0;
    virtual void readHealth(std::function<void(UpstreamHealth)> done) = 0;
};

/** An upstream that speaks HTTP/1.1, by libsoup. */
class HttpUpstream final : public Upstream {
public:
    explicit HttpUpstream(std::string url);
    ~HttpUpstream() override;
    HttpUpstream(const HttpUpstream&) = delete;
    HttpUpstream& operator=(const HttpUpstream&) = delete;

    void handOver(const HandOver& handOver, std::function<void(UpstreamResult)> done) override;
    void cancel(HandOverId id) override;
    void readHealth(std::function<void(UpstreamHealth)> done) override;

private:
    struct Exchange;
    struct Health;
    static void onAnswer(GObject* source, GAsyncResult* result, gpointer data);
    static void onHealth(GObject* source, GAsyncResult* result, gpointer data);

    std::string url;
    SoupSession* session;
    std::map<uint64_t, Exchange*> exchanges; ///< Open ones, by HandOverId.
};

} // namespace lavender
