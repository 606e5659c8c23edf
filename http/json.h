//===- http/json.h - Typed documents as JSON --------------------*- C++ -*-===//
///
/// \file
/// Protobuf's JSON mapping, with the options that this project uses.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_HTTP_JSON_H
#define YARDWHEEL_HTTP_JSON_H

#include <google/protobuf/message.h>
#include <string>

namespace yardwheel {

std::string toJson(const google::protobuf::Message &Document);

/// Reads a document; unknown fields are errors.
/// \returns an empty string, or what is wrong and where.
std::string fromJson(const std::string &Text,
                     google::protobuf::Message &Document);

} // namespace yardwheel

#endif
