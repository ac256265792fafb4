/** @file json_func.h Reading of JSON that another process has written. */
#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace lavender {

constexpr int maximumJsonDepth = 32; ///< Of lists and objects within each other; those of the store, the operators and upstreams have five at most.

/**
 * Parses JSON. What is nested deeper than maximumJsonDepth is left out: copies of such values are recursive, and a text of 1 MB can nest
 * so deep that they overflow the stack.
 * @return A discarded value if the text is no JSON.
 */
nlohmann::json parseJson(std::string_view text);

} // namespace lavender
