//===- http/request_reader.h - Requests from a connection's bytes -*- C++ -*-=//
///
/// \file
/// Finds where each request on a connection ends and the next one begins. Once
/// a request is refused nobody knows where the next one would begin, so nothing
/// behind it is read: else the rest of a body is answered as a request that its
/// caller never sent.
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
  /// Of the request line and all header fields, in bytes.
  std::size_t MaxHeadBytes = 16384;
  /// Of a body without its encoding, in bytes.
  std::size_t MaxBodyBytes = 1048576;
  /// Names of the headers that handlers ask for.
  std::vector<std::string> Headers;
};

/// Why a request cannot be read.
struct ReadRefusal {
  HttpStatus Status = HttpStatus::BadRequest;
  std::string Reason;
};

/// A whole request, and how it wants to be answered.
struct ReadRequest {
  HttpRequest Request;
  AnswerForm Form;
};

class RequestReader {
public:
  /// \param Options Must outlive the reader.
  explicit RequestReader(const ReaderOptions &Options) : Options(Options) {}

  /// Takes what has come next on the connection; nothing after a refusal.
  void feed(std::string_view Bytes);
  /// The next request, if it has come whole.
  std::optional<ReadRequest> next();
  /// Why nothing more is read, once next() has come to a request that cannot
  /// be. Its answer has to be the connection's last.
  const std::optional<ReadRefusal> &refusal() const { return this->Refusal; }

  /// Whether a request has begun to come and is not whole.
  bool isInRequest() const { return this->Parser.has_value(); }
  /// Whether anything has come behind the requests taken so far.
  bool hasMore() const { return this->isInRequest() || !this->Unread.empty(); }
  /// Whether the caller holds back its request's body until it is told to send
  /// it; true once for each such request.
  bool takeContinueWish();

private:
  using BeastParser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using BeastRequest =
      boost::beast::http::request<boost::beast::http::string_body>;

  void begin();
  /// Some callers end a body with a line end too many.
  void skipEmptyLines();
  /// Connections stay only for callers that ask for it, or have sent more: on
  /// one that is kept, a caller's next request finds this process also when it
  /// has just died, and is lost; a new connection finds another process.
  bool keepsConnection(const BeastRequest &Parsed) const;
  /// Whether the parser has to wait for more of a chunked body.
  bool lacksChunkedEnd() const;
  void refuse(HttpStatus Status, const std::string &Reason);
  void refuse(const boost::beast::error_code &Problem);
  /// Refuses what the parser would let pass although the request's end is not
  /// what its head says.
  void checkHead();
  /// Refuses what can no longer become a request within its limits.
  void checkUnfinished();
  ReadRequest take();

  const ReaderOptions &Options;
  /// What the parser has not taken yet: a head or a chunk's line that is not
  /// whole, or the requests behind this one.
  std::string Unread;
  std::optional<BeastParser> Parser;
  bool HeadChecked = false;
  bool WishesContinue = false;
  std::optional<ReadRefusal> Refusal;
};

} // namespace yardwheel

#endif
