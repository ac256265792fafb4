/** @file packet_agent_process.h lavender-agent for an upstream that takes opaque packets. */
#pragma once

#include "daemon/process_base.h"
#include "settings/setting_func.h"

#include <string>

namespace lavender {

/**
 * Runs the agent until it is told to stop.
 * @param text Content of the settings file.
 * @param path Path of the settings file, for reloads.
 * @return AddressInUse or Unavailable if an address cannot be bound.
 */
ExitCode runPacketAgent(const AgentProcessSettings& settings, std::string text, std::string path);

} // namespace lavender
