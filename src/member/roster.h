/** @file roster.h The agents of each service as the store keeps them, for processes that have lost their memory all at once. */
#pragma once

#include "member/member_table.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>

namespace lavender {

/** Agents of one service, with their availability zones. */
using RosterAgents = std::map<Address, std::string>;

/** Agents by the name of their service. */
using Roster = std::map<std::string, RosterAgents, std::less<>>;

constexpr size_t maximumRosterBytes = size_t { 64 } * 1024; ///< Of the text: each process reads it at its start. Enough for some 2,600 agents; a larger fleet has no roster.

/** Formats a roster as JSON. */
std::string formatRoster(const Roster& roster);

/** Parses the text of formatRoster(). Entries that name no agent are left out; the others hold. @return InvalidArgument if it is no JSON object. */
absl::StatusOr<Roster> parseRoster(std::string_view text);

/**
 * The agents that may hold flows by a process's view.
 * @param earlier Roster that is to be replaced. Of its agents those stay that @p table does not know, if @p keepsUnknown.
 */
Roster makeRoster(TimePoint now, const MemberTable& table, const Roster& earlier, bool keepsUnknown);

} // namespace lavender
