#include "http/request_reader.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <utility>

namespace yardwheel {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// The minimum size of the end of a chunked body ("0" and two line ends). The
/// parser asserts that it gets at least this once it has seen the "0".
constexpr std::size_t MinChunkedEndBytes = 5;

/// The supported methods; all others are refused.
constexpr std::array<std::string_view, 9> KnownMethods = {
    "GET",     "POST", "PUT",   "PATCH",  "DELETE",
    "OPTIONS", "HEAD", "TRACE", "CONNECT"};

bool isKnown(std::string_view Method) {
  return std::find(KnownMethods.begin(), KnownMethods.end(), Method) !=
         KnownMethods.end();
}

/// Returns whether \p Text can be the start of a request line.
bool mayBeginRequest(std::string_view Text) {
  std::string_view Method = Text.substr(0, Text.find(' '));
  return std::any_of(
      KnownMethods.begin(), KnownMethods.end(), [&](std::string_view Known) {
        return Method.size() < Text.size() ? Known == Method
                                           : Known.starts_with(Method);
      });
}

HttpMethod methodOf(http::verb Method) {
  switch (Method) {
  case http::verb::get:
    return HttpMethod::Get;
  case http::verb::post:
    return HttpMethod::Post;
  case http::verb::put:
    return HttpMethod::Put;
  case http::verb::patch:
    return HttpMethod::Patch;
  case http::verb::delete_:
    return HttpMethod::Delete;
  default:
    return HttpMethod::Other;
  }
}

int hexValue(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return -1;
}

std::string decodePart(std::string_view Part) {
  std::string Decoded;
  constexpr int HexBase = 16;
  for (std::size_t I = 0; I < Part.size(); ++I) {
    bool Escape = Part[I] == '%' && I + 2 < Part.size() &&
                  hexValue(Part[I + 1]) >= 0 && hexValue(Part[I + 2]) >= 0;
    if (!Escape) {
      Decoded.push_back(Part[I]);
      continue;
    }
    Decoded.push_back(static_cast<char>(hexValue(Part[I + 1]) * HexBase +
                                        hexValue(Part[I + 2])));
    I += 2;
  }
  return Decoded;
}

std::vector<std::string> splitPath(std::string_view Resource) {
  std::vector<std::string> Parts;
  while (!Resource.empty()) {
    std::size_t End = std::min(Resource.find('/'), Resource.size());
    if (End > 0)
      Parts.push_back(decodePart(Resource.substr(0, End)));
    Resource.remove_prefix(std::min(End + 1, Resource.size()));
  }
  return Parts;
}

std::string headerOf(const http::fields &Fields, const std::string &Name) {
  return std::string(Fields[Name]);
}

} // namespace

void RequestReader::feed(std::string_view Bytes) {
  if (!this->Refusal)
    this->Unread.append(Bytes);
}

std::optional<ReadRequest> RequestReader::next() {
  if (this->Refusal)
    return std::nullopt;
  if (!this->Parser)
    this->begin();
  if (!this->Parser || this->lacksChunkedEnd())
    return std::nullopt;
  beast::error_code Problem;
  std::size_t Taken = this->Parser->put(
      boost::asio::buffer(std::as_const(this->Unread)), Problem);
  this->Unread.erase(0, Taken);
  if (this->Parser->is_header_done() && !this->HeadChecked)
    this->checkHead();
  if (this->Refusal)
    return std::nullopt;
  if (Problem && Problem != http::error::need_more) {
    this->refuse(Problem);
    return std::nullopt;
  }
  if (!this->Parser->is_done()) {
    this->checkUnfinished();
    return std::nullopt;
  }
  return this->take();
}

std::size_t RequestReader::heldBytes() const {
  return this->Unread.size() +
         (this->Parser ? this->Parser->get().body().size() : 0);
}

bool RequestReader::lacksChunkedEnd() const {
  return this->Parser->is_header_done() && this->Parser->chunked() &&
         this->Unread.size() < MinChunkedEndBytes;
}

void RequestReader::begin() {
  this->skipEmptyLines();
  if (this->Unread.empty())
    return;
  this->Parser.emplace();
  this->Parser->eager(true);
  this->Parser->header_limit(
      static_cast<std::uint32_t>(this->Options.MaxHeadBytes));
  this->Parser->body_limit(this->Options.MaxBodyBytes);
  this->HeadChecked = false;
  this->ExpectsContinue = false;
}

void RequestReader::skipEmptyLines() {
  std::size_t First = this->Unread.find_first_not_of("\r\n");
  this->Unread.erase(0, std::min(First, this->Unread.size()));
}

void RequestReader::refuse(HttpStatus Status, const std::string &Reason) {
  this->Refusal = ReadRefusal{Status, Reason};
  this->Unread.clear();
  this->Parser.reset();
  this->ExpectsContinue = false;
}

void RequestReader::refuse(const beast::error_code &Problem) {
  HttpStatus Status = HttpStatus::BadRequest;
  if (Problem == http::error::header_limit)
    Status = HttpStatus::HeadTooLarge;
  if (Problem == http::error::body_limit)
    Status = HttpStatus::PayloadTooLarge;
  this->refuse(Status, Problem.message());
}

void RequestReader::checkHead() {
  this->HeadChecked = true;
  const auto &Head = this->Parser->get();
  if (!isKnown({Head.method_string().data(), Head.method_string().size()})) {
    this->refuse(HttpStatus::BadRequest, "the method is not known");
    return;
  }
  auto Encoding = Head.find(http::field::transfer_encoding);
  bool IsEncoded = Encoding != Head.end();
  // The parser takes a body that ends with its connection for no body.
  if (IsEncoded && !beast::iequals(Encoding->value(), "chunked")) {
    this->refuse(HttpStatus::NotImplemented,
                 "no encoding of a body is known but chunked");
    return;
  }
  if (IsEncoded && Head.version() < 11) {
    this->refuse(HttpStatus::BadRequest, "HTTP/1.0 has no encoding of a body");
    return;
  }
  this->ExpectsContinue =
      Head.version() >= 11 &&
      beast::iequals(Head[http::field::expect], "100-continue") &&
      !this->Parser->is_done();
}

void RequestReader::checkUnfinished() {
  bool LineDone = !this->Parser->get().method_string().empty();
  if (!LineDone && !mayBeginRequest(this->Unread)) {
    this->refuse(HttpStatus::BadRequest, "the method is not known");
    return;
  }
  if (this->Unread.size() > this->Options.MaxHeadBytes)
    this->refuse(http::make_error_code(http::error::header_limit));
}

bool RequestReader::takeContinueExpectation() {
  return std::exchange(this->ExpectsContinue, false);
}

bool RequestReader::keepsConnection(const BeastRequest &Parsed) const {
  http::token_list Tokens(Parsed[http::field::connection]);
  bool AsksToKeep = Tokens.exists("keep-alive");
  return Parsed.keep_alive() && (AsksToKeep || !this->Unread.empty());
}

ReadRequest RequestReader::take() {
  BeastRequest Parsed = this->Parser->release();
  this->Parser.reset();
  this->skipEmptyLines();
  ReadRequest Read;
  Read.Form.IsHttp10 = Parsed.version() < 11;
  Read.Form.KeepsConnection = this->keepsConnection(Parsed);
  Read.Form.HasBody = Parsed.method() != http::verb::head;
  HttpRequest &Request = Read.Request;
  std::string_view Target(Parsed.target().data(), Parsed.target().size());
  Request.Method = methodOf(Parsed.method());
  Request.Resource = Target.substr(0, Target.find('?'));
  Request.Path = splitPath(Request.Resource);
  Request.Job = headerOf(Parsed, "X-Yardwheel-Job");
  Request.Task = headerOf(Parsed, "X-Yardwheel-Task");
  for (const std::string &Name : this->Options.Headers) {
    std::string Value = headerOf(Parsed, Name);
    if (!Value.empty())
      Request.Headers[Name] = std::move(Value);
  }
  Request.Body = std::move(Parsed.body());
  return Read;
}

} // namespace yardwheel
