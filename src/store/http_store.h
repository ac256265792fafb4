/** @file http_store.h Client of the JSON gateway of etcd v3 over HTTP, with libsoup. */
#pragma once

#include "core/time_type.h"
#include "store/store_base.h"

#include <libsoup/soup.h>

#include <memory>

namespace lavender {

/** Store client for the JSON gateway of etcd v3. */
class HttpStore final : public Store {
public:
    /**
     * @param url Without a path, as "http://10.0.0.1:2379".
     * @param timeout Timeout of all calls but watches.
     */
    HttpStore(std::string url, Duration timeout);
    ~HttpStore() override;
    HttpStore(const HttpStore&) = delete;
    HttpStore& operator=(const HttpStore&) = delete;

    void read(std::string_view key, Done<std::optional<StoreValue>> done) override;
    void list(std::string_view prefix, Done<std::vector<StoreValue>> done) override;
    void compareAndSwap(std::string_view key, const StorePosition& expected, std::string_view value, Done<SwapResult> done) override;
    void putWithLease(std::string_view key, std::string_view value, const StoreLease& lease, Done<SwapResult> done) override;
    void grantLease(uint32_t seconds, Done<StoreLease> done) override;
    void renewLease(const StoreLease& lease, Done<StoreLease> done) override;
    void revokeLease(const StoreLease& lease, Done<StoreLease> done) override;
    void watch(std::string_view key, std::function<void(StoreValue)> changed, std::function<void(absl::Status)> ended) override;

private:
    std::string url;
    SoupSession* session; ///< For all calls but watches.
    SoupSession* watchSession; ///< For watches, with a longer timeout, as a watch is silent while its key does not change.
};

} // namespace lavender
