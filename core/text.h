//===- core/text.h - Checks on text from outside ----------------*- C++ -*-===//
#ifndef YARDWHEEL_CORE_TEXT_H
#define YARDWHEEL_CORE_TEXT_H

#include <string>
#include <string_view>

namespace yardwheel {

/// Whether \p Text is well-formed UTF-8 (RFC 3629), as JSON and protobuf
/// strings must be.
bool isUtf8(std::string_view Text);

/// \p Text with every byte that is not printable ASCII replaced by '?', at
/// most \p Limit bytes of it, for use in messages.
std::string printable(std::string_view Text, std::size_t Limit = 200);

} // namespace yardwheel

#endif
