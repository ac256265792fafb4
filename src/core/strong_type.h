/** @file strong_type.h Integer ids that do not mix with one another. */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <limits>

namespace lavender {

/**
 * An integer id of one kind.
 * @tparam Tag Any type; it only tells kinds apart.
 * @tparam Base Unsigned integer that holds the value.
 */
template <typename Tag, typename Base = uint32_t>
struct StrongId {
    using BaseType = Base;
    static constexpr Base invalidValue = std::numeric_limits<Base>::max();

    Base value = invalidValue; ///< The bare number; invalidValue where there is none.

    constexpr bool isValid() const { return this->value != invalidValue; }
    constexpr auto operator<=>(const StrongId&) const = default;
};

struct ServiceTag;
using ServiceId = StrongId<ServiceTag, uint32_t>; ///< Index of a service in one configuration.

struct HandOverTag;
using HandOverId = StrongId<HandOverTag, uint64_t>; ///< One exchange between an agent and its upstream.

using Revision = uint64_t; ///< Revision of the configuration; 0 where there is none yet.

} // namespace lavender

template <typename Tag, typename Base>
struct std::hash<lavender::StrongId<Tag, Base>> {
    size_t operator()(lavender::StrongId<Tag, Base> id) const noexcept { return std::hash<Base> {}(id.value); }
};
