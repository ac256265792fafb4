/** @file rule_patch.cpp Common prefix and suffix are enough, because an operator's change touches neighbouring lines. */
#include "config/rule_patch.h"

#include "core/hash_func.h"

#include <algorithm>

namespace lavender {

RulesPatch makePatch(const Revision& base, std::string_view before, std::string_view after)
{
    const size_t shorter = std::min(before.size(), after.size());
    const auto firstDifference = std::mismatch(before.begin(), before.begin() + static_cast<std::ptrdiff_t>(shorter), after.begin());
    const auto prefix = static_cast<size_t>(firstDifference.first - before.begin());
    size_t suffix = 0;
    while (suffix < shorter - prefix && before[before.size() - 1 - suffix] == after[after.size() - 1 - suffix]) {
        ++suffix;
    }
    return {
        base,
        static_cast<uint32_t>(prefix),
        static_cast<uint32_t>(suffix),
        std::string(after.substr(prefix, after.size() - prefix - suffix)),
        hashText(after),
    };
}

std::optional<std::string> applyPatch(const RulesPatch& patch, const Revision& haveRevision, std::string_view before)
{
    const bool isWhole = !patch.base.isValid();
    const bool isApplicable = isWhole ? patch.prefix == 0 && patch.suffix == 0
                                      : patch.base == haveRevision && size_t { patch.prefix } + patch.suffix <= before.size();
    if (!isApplicable) {
        return std::nullopt;
    }
    std::string after(before.substr(0, patch.prefix));
    after += patch.middle;
    after += isWhole ? std::string_view() : before.substr(before.size() - patch.suffix);
    return hashText(after) == patch.hash ? std::optional(std::move(after)) : std::nullopt;
}

} // namespace lavender
