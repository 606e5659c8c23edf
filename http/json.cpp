#include "http/json.h"

#include <google/protobuf/util/json_util.h>

namespace yardwheel {

namespace {

/// The maximum length of a parser's error message, in bytes.
constexpr std::size_t MaxProblemLength = 300;

} // namespace

std::string toJson(const google::protobuf::Message &Document) {
  google::protobuf::util::JsonPrintOptions Options;
  Options.always_print_primitive_fields = true;
  Options.preserve_proto_field_names = true;
  std::string Text;
  auto Status =
      google::protobuf::util::MessageToJsonString(Document, &Text, Options);
  // Strings that are not UTF-8 cannot be written as JSON.
  return Status.ok() ? Text : "{}";
}

std::string fromJson(const std::string &Text,
                     google::protobuf::Message &Document) {
  auto Status = google::protobuf::util::JsonStringToMessage(Text, &Document);
  if (Status.ok())
    return {};
  return std::string(Status.message()).substr(0, MaxProblemLength);
}

} // namespace yardwheel
