/** @file rule_patch.h Patches, so that a small change of a large rules file is small on the wire. */
#pragma once

#include "core/revision_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavender {

/** A text as a change of a base text: replaces what lies between a common prefix and a common suffix. */
struct RulesPatch {
    Revision base; ///< Revision of the base text; not valid if there is none and middle is the whole text.
    uint32_t prefix = 0; ///< Bytes kept from the start of the base text.
    uint32_t suffix = 0; ///< Bytes kept from the end of the base text.
    std::string middle; ///< New text between prefix and suffix.
    uint64_t hash = 0; ///< hashText of the patched text, to detect a wrong base.
    bool operator==(const RulesPatch&) const = default;
};

/** Makes the patch from @p before, which has revision @p base, to @p after. @p before must be empty if @p base is not valid. */
RulesPatch makePatch(const Revision& base, std::string_view before, std::string_view after);

/** Applies a patch to @p before of revision @p haveRevision. @return The patched text; none if the patch does not apply to it. */
std::optional<std::string> applyPatch(const RulesPatch& patch, const Revision& haveRevision, std::string_view before);

} // namespace lavender
