/** @file store_factory.h Creates the client of the configured store. */
#pragma once

#include "core/event_base.h"
#include "core/time_type.h"
#include "store/store_base.h"

#include <memory>
#include <string>

namespace lavender {

/**
 * Creates a client for the store at @p url.
 * @param dialect Interface of the store: "kv" for platform::KvStore, otherwise HttpStore.
 * @param timeout Time limit of one call.
 * @param events Receives the events of the "kv" client; the other one reports none.
 */
std::unique_ptr<Store> makeStore(const std::string& dialect, const std::string& url, Duration timeout, EventSink& events);

} // namespace lavender
