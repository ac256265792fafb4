/** @file rule_patch.h Small changes of large rules files. */
#pragma once

#include "core/strong_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavender {

/** A text as the change of another one: what stands before and after is taken from there. */
struct RulesPatch {
    Revision base = 0; ///< Revision of the text that is changed; 0: middle is the whole text.
    uint32_t prefix = 0; ///< Bytes kept at the front.
    uint32_t suffix = 0; ///< Bytes kept at the end.
    std::string middle; ///< What stands between.
    uint64_t hash = 0; ///< hashText of the result.
    bool operator==(const RulesPatch&) const = default;
};

/** The patch from @p before, of revision @p base, to @p after. */
RulesPatch makePatch(Revision base, std::string_view before, std::string_view after);

/** The text that the patch makes of @p before; none where it does not fit. */
std::optional<std::string> applyPatch(const RulesPatch& patch, Revision haveRevision, std::string_view before);

} // namespace lavender
