//===- http/request_reader.h - Parses a connection's requests ---*- C++ -*-===//
///
/// \file
/// Splits the input of a connection into requests. Once a request is refused,
/// the start of the next one is unknown, so no further input is parsed.
/// Otherwise the rest of a body would be answered as a request that the caller
/// never sent.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_HTTP_REQUEST_READER_H
#define YARDWHEEL_HTTP_REQUEST_READER_H

#include "http/http_message.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yardwheel {

struct ReaderOptions {
  /// The limit of the request line and all header fields, in bytes.
  std::size_t MaxHeadBytes = 16384;
  /// The limit of a body without its encoding, in bytes.
  std::size_t MaxBodyBytes = 1048576;
  /// The names of the headers that handlers use.
  std::vector<std::string> Headers;
};

/// Why a request is refused.
struct ReadRefusal {
  HttpStatus Status = HttpStatus::BadRequest;
  std::string Reason;
};

/// A complete request and the form of its answer.
struct ReadRequest {
  HttpRequest Request;
  AnswerForm Form;
};

class RequestReader {
public:
  /// \param Options Must outlive the reader.
  explicit RequestReader(const ReaderOptions &Options) : Options(Options) {}

  /// Adds input of the connection. Ignored after a refusal.
  void feed(std::string_view Bytes);
  /// Returns the next request if it is complete.
  std::optional<ReadRequest> next();
  /// Returns the refusal once next() has found an invalid request. Its answer
  /// must be the connection's last.
  const std::optional<ReadRefusal> &refusal() const { return this->Refusal; }

  /// Returns the size of the input that no request was returned for, in bytes.
  std::size_t heldBytes() const;
  /// Returns whether a request has begun and is incomplete.
  bool isInRequest() const { return this->Parser.has_value(); }
  /// Returns whether there is input after the requests returned so far.
  bool hasMore() const { return this->isInRequest() || !this->Unread.empty(); }
  /// Returns whether the caller waits for "100 Continue" before it sends the
  /// body; true once for each such request.
  bool takeContinueExpectation();

private:
  using BeastParser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using BeastRequest =
      boost::beast::http::request<boost::beast::http::string_body>;

  void begin();
  /// Skips the extra line end that some callers send after a body.
  void skipEmptyLines();
  /// Connections are kept only for callers that ask for it or have sent more.
  /// On a kept connection the next request goes to this process even if it has
  /// just died, and is lost; a new connection would reach another process.
  bool keepsConnection(const BeastRequest &Parsed) const;
  /// Returns whether the parser has to wait for more of a chunked body.
  bool lacksChunkedEnd() const;
  void refuse(HttpStatus Status, const std::string &Reason);
  void refuse(const boost::beast::error_code &Problem);
  /// Refuses heads that the parser accepts although they do not determine the
  /// end of the request correctly.
  void checkHead();
  /// Refuses input that can no longer become a request within the limits.
  void checkUnfinished();
  ReadRequest take();

  const ReaderOptions &Options;
  /// Input that the parser has not consumed: an incomplete head or chunk line,
  /// or later requests.
  std::string Unread;
  std::optional<BeastParser> Parser;
  bool HeadChecked = false;
  bool ExpectsContinue = false;
  std::optional<ReadRefusal> Refusal;
};

} // namespace yardwheel

#endif
