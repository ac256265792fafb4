/** @file strong_type.h Integer ids of distinct types, so that ids of different kinds cannot be mixed up. */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <limits>

namespace lavender {

/**
 * Integer id of one kind.
 * @tparam Tag Type that makes this kind of id distinct; may be incomplete.
 * @tparam Base Unsigned integer type of the value.
 */
template <typename Tag, typename Base = uint32_t>
struct StrongId {
    using BaseType = Base;
    static constexpr Base invalidValue = std::numeric_limits<Base>::max();

    Base value = invalidValue; ///< The number; invalidValue if not set.

    constexpr bool isValid() const { return this->value != invalidValue; }
    constexpr auto operator<=>(const StrongId&) const = default;
};

struct ServiceTag;
using ServiceId = StrongId<ServiceTag, uint32_t>; ///< Index into Configuration::services; meaningful for one revision only.

struct UpstreamRequestTag;
using UpstreamRequestId = StrongId<UpstreamRequestTag, uint64_t>; ///< A request that an agent has passed to its upstream.

} // namespace lavender

template <typename Tag, typename Base>
struct std::hash<lavender::StrongId<Tag, Base>> {
    size_t operator()(lavender::StrongId<Tag, Base> id) const noexcept { return std::hash<Base> {}(id.value); }
};
