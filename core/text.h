//===- core/text.h - Checks of external text --------------------*- C++ -*-===//
#ifndef YARDWHEEL_CORE_TEXT_H
#define YARDWHEEL_CORE_TEXT_H

#include <string>
#include <string_view>

namespace yardwheel {

/// Returns whether \p Text is well-formed UTF-8 (RFC 3629), as required of JSON
/// and protobuf strings.
bool isUtf8(std::string_view Text);

/// Returns at most \p Limit bytes of \p Text, with every byte that is not
/// printable ASCII replaced by '?', for use in messages.
std::string printable(std::string_view Text, std::size_t Limit = 200);

} // namespace yardwheel

#endif
