/** @file store_factory.cpp Selects the store client by the interface of the store. */
#include "daemon/store_factory.h"

#include "platform/kv_store.h"
#include "store/http_store.h"

namespace lavender {

std::unique_ptr<Store> makeStore(const std::string& dialect, const std::string& url, Duration timeout, EventSink& events)
{
    if (dialect == "kv") {
        return std::make_unique<platform::KvStore>(url, timeout, events);
    }
    return std::make_unique<HttpStore>(url, timeout);
}

} // namespace lavender
