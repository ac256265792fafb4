/** @file bind_error.cpp An address in use is a state that passes; any other error is one of the settings. */
#include "daemon/bind_error.h"

#include "core/text_func.h"
#include "daemon/log_func.h"

#include <string>

namespace lavender {

absl::Status makeBindError(std::string_view protocol, Address address, GError* error)
{
    const std::string text = concat(protocol, " ", formatAddress(address), ": ", error->message);
    const bool isInUse = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_ADDRESS_IN_USE) != FALSE;
    g_error_free(error);
    return isInUse ? absl::UnavailableError(text) : absl::FailedPreconditionError(text);
}

ExitCode reportBindError(const absl::Status& status)
{
    if (!absl::IsUnavailable(status)) {
        logError("listen-failed", status.ToString());
        return ExitCode::Unavailable;
    }
    static bool isLogged = false; // The program tries again several times a second.
    if (!isLogged) {
        isLogged = true;
        logWarning("address-in-use", concat("trying again until it is free: ", std::string(status.message())));
    }
    return ExitCode::AddressInUse;
}

} // namespace lavender
