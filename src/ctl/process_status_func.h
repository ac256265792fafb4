/** @file process_status_func.h The command "status" of lavenderctl. */
#pragma once

#include "ctl/command_type.h"

namespace lavender {

/** Prints the state of the processes on the command line, or of all balancers in the store. @return Exit code. */
int runStatus(const CommandLine& commandLine);

} // namespace lavender
