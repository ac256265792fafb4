/** @file http_store.h The store over HTTP with JSON bodies, as the etcd v3 gateway publishes it, by libsoup. */
#pragma once

#include "core/time_type.h"
#include "store/store_base.h"

#include <libsoup/soup.h>

#include <memory>

namespace lavender {

/** A store at an HTTP address. */
class HttpStore final : public Store {
public:
    HttpStore(std::string url, Duration timeout);
    ~HttpStore() override;
    HttpStore(const HttpStore&) = delete;
    HttpStore& operator=(const HttpStore&) = delete;

    void read(std::string_view key, Done<std::optional<StoreValue>> done) override;
    void list(std::string_view prefix, Done<std::vector<StoreValue>> done) override;
    void compareAndSwap(std::string_view key, Revision expected, std::string_view value, Done<SwapResult> done) override;
    void putWithLease(std::string_view key, std::string_view value, uint64_t lease, Done<SwapResult> done) override;
    void grantLease(uint32_t seconds, Done<uint64_t> done) override;
    void renewLease(uint64_t lease, Done<uint64_t> done) override;
    void revokeLease(uint64_t lease, Done<uint64_t> done) override;
    void watch(std::string_view key, std::function<void(StoreValue)> changed, std::function<void(absl::Status)> ended) override;

private:
    std::string url;
    SoupSession* session; ///< For calls; has the timeout.
    SoupSession* watchSession; ///< For watches; a quiet one is no fault.
};

} // namespace lavender
