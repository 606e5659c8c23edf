//===- http/json.h - Typed documents as JSON --------------------*- C++ -*-===//
///
/// \file
/// Conversion of protobuf messages to and from JSON with fixed options.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_HTTP_JSON_H
#define YARDWHEEL_HTTP_JSON_H

#include <google/protobuf/message.h>
#include <string>

namespace yardwheel {

std::string toJson(const google::protobuf::Message &Document);

/// Parses a document. Unknown fields are errors.
/// \returns an empty string, or the error and its position.
std::string fromJson(const std::string &Text,
                     google::protobuf::Message &Document);

} // namespace yardwheel

#endif
