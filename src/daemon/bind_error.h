/** @file bind_error.h Why an address could not be bound, and what the process does about it. */
#pragma once

#include "core/address_type.h"
#include "daemon/process_base.h"

#include <absl/status/status.h>
#include <gio/gio.h>

#include <string_view>

namespace lavender {

/** Takes an error of GIO. @return Unavailable if another socket has the address, which may end; else FailedPrecondition. */
absl::Status makeBindError(std::string_view protocol, Address address, GError* error);

/** Logs that an address could not be bound; one that is in use is logged once. @return AddressInUse or Unavailable. */
ExitCode reportBindError(const absl::Status& status);

} // namespace lavender
