#include "http/http_server.h"

#include "core/error.h"

#include <atomic>
#include <fmt/format.h>
#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>
#include <sstream>
#include <sys/socket.h>

namespace yardwheel {

namespace {

HttpMethod methodOf(Pistache::Http::Method Method) {
  switch (Method) {
  case Pistache::Http::Method::Get:
    return HttpMethod::Get;
  case Pistache::Http::Method::Post:
    return HttpMethod::Post;
  case Pistache::Http::Method::Put:
    return HttpMethod::Put;
  case Pistache::Http::Method::Patch:
    return HttpMethod::Patch;
  case Pistache::Http::Method::Delete:
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

std::string decodePart(const std::string &Part) {
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

std::vector<std::string> splitPath(const std::string &Resource) {
  std::vector<std::string> Parts;
  std::string Part;
  for (char C : Resource + "/") {
    if (C != '/') {
      Part.push_back(C);
      continue;
    }
    if (!Part.empty())
      Parts.push_back(decodePart(Part));
    Part.clear();
  }
  return Parts;
}

std::string rawHeader(const Pistache::Http::Request &Request,
                      const std::string &Name) {
  auto Found = Request.headers().tryGetRaw(Name);
  return Found ? Found->value() : "";
}

/// A header's text; Pistache keeps those that it knows as types of their own.
std::string headerOf(const Pistache::Http::Request &Request,
                     const std::string &Name) {
  auto Typed = Request.headers().tryGet(Name);
  if (!Typed)
    return rawHeader(Request, Name);
  std::ostringstream Text;
  Typed->write(Text);
  return Text.str();
}

/// Pistache writes only headers that are types of their own.
template <typename Tag>
class TextHeader : public Pistache::Http::Header::Header {
public:
  explicit TextHeader(std::string Value) : Value(std::move(Value)) {}
  static constexpr const char *Name = Tag::Text;
  const char *name() const override { return Name; }
  static constexpr std::uint64_t Hash =
      Pistache::Http::Header::detail::hash(Tag::Text);
  std::uint64_t hash() const override { return Hash; }
  void parse(const std::string &) override {}
  void write(std::ostream &Stream) const override { Stream << this->Value; }

private:
  std::string Value;
};

struct RetryAfterName {
  static constexpr const char *Text = "Retry-After";
};
struct LocationName {
  static constexpr const char *Text = "Location";
};
struct ContentTypeName {
  static constexpr const char *Text = "Content-Type";
};

class PistacheReply final : public HttpReply {
public:
  PistacheReply(Pistache::Http::ResponseWriter Writer,
                std::shared_ptr<AnswerCounters> Counters)
      : Writer(std::move(Writer)), Counters(std::move(Counters)) {}

  void send(const HttpAnswer &Answer) override {
    if (this->Sent.exchange(true))
      return;
    auto &Headers = this->Writer.headers();
    Headers.add<TextHeader<ContentTypeName>>(Answer.ContentType);
    if (Answer.RetryAfter.count() > 0) {
      // HTTP counts in whole seconds; the body has the milliseconds.
      auto Seconds = std::chrono::ceil<std::chrono::seconds>(Answer.RetryAfter);
      Headers.add<TextHeader<RetryAfterName>>(fmt::to_string(Seconds.count()));
    }
    if (!Answer.Location.empty())
      Headers.add<TextHeader<LocationName>>(Answer.Location);
    if (Answer.Close) {
      using Connection = Pistache::Http::Header::Connection;
      Headers.remove<Connection>();
      Headers.add<Connection>(Pistache::Http::ConnectionControl::Close);
    }
    auto Code = static_cast<Pistache::Http::Code>(Answer.Status);
    try {
      this->Writer.send(Code, Answer.Body);
      this->Counters->countAnswered(static_cast<int>(Answer.Status));
    } catch (const std::exception &) {
      // The client has gone; there is nobody to tell.
      this->Counters->countWithoutCaller();
    }
  }

  bool hasClient() const override {
    std::shared_ptr<Pistache::Tcp::Peer> Peer = this->Writer.getPeer();
    char Next = 0;
    // A connection that was closed by the other end reads as empty.
    return Peer &&
           ::recv(Peer->fd(), &Next, sizeof Next, MSG_PEEK | MSG_DONTWAIT) != 0;
  }

private:
  Pistache::Http::ResponseWriter Writer;
  std::shared_ptr<AnswerCounters> Counters;
  std::atomic<bool> Sent{false};
};

class PistacheHandler final : public Pistache::Http::Handler {
public:
  HTTP_PROTOTYPE(PistacheHandler)

  PistacheHandler(std::shared_ptr<HttpHandler> Target,
                  std::vector<std::string> Headers,
                  std::shared_ptr<AnswerCounters> Counters)
      : Target(std::move(Target)), Headers(std::move(Headers)),
        Counters(std::move(Counters)) {}

  void onRequest(const Pistache::Http::Request &Request,
                 Pistache::Http::ResponseWriter Writer) override {
    HttpRequest Plain;
    Plain.Method = methodOf(Request.method());
    Plain.Resource = Request.resource();
    Plain.Path = splitPath(Request.resource());
    Plain.Body = Request.body();
    Plain.Job = rawHeader(Request, "X-Yardwheel-Job");
    Plain.Task = rawHeader(Request, "X-Yardwheel-Task");
    for (const std::string &Name : this->Headers) {
      std::string Value = headerOf(Request, Name);
      if (!Value.empty())
        Plain.Headers[Name] = std::move(Value);
    }
    if (std::shared_ptr<Pistache::Tcp::Peer> Peer = Writer.getPeer())
      Plain.Connection = Peer->getID();
    this->Target->handle(Plain, std::make_shared<PistacheReply>(
                                    std::move(Writer), this->Counters));
  }

  void
  onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    this->Target->onDisconnect(Peer->getID());
  }

private:
  std::shared_ptr<HttpHandler> Target;
  std::vector<std::string> Headers;
  std::shared_ptr<AnswerCounters> Counters;
};

} // namespace

class HttpServer::Implementation {
public:
  explicit Implementation(const std::string &Listen)
      : Endpoint(Pistache::Address(Listen)) {}
  std::shared_ptr<AnswerCounters> Counters = std::make_shared<AnswerCounters>();
  Pistache::Http::Endpoint Endpoint;
  bool Running = false;
};

HttpServer::HttpServer(const HttpServerOptions &Options,
                       std::shared_ptr<HttpHandler> Handler) {
  try {
    this->Inner = std::make_unique<Implementation>(Options.Listen);
    auto Settings = Pistache::Http::Endpoint::options()
                        .threads(static_cast<int>(Options.Threads))
                        .maxRequestSize(Options.MaxBodyBytes)
                        .headerTimeout(Options.HeaderTimeout)
                        .bodyTimeout(Options.HeaderTimeout)
                        .flags(Pistache::Flags<Pistache::Tcp::Options>(
                            Pistache::Tcp::Options::ReuseAddr));
    this->Inner->Endpoint.init(Settings);
    this->Inner->Endpoint.setHandler(std::make_shared<PistacheHandler>(
        std::move(Handler), Options.Headers, this->Inner->Counters));
    this->Inner->Endpoint.serveThreaded();
    this->Inner->Running = true;
  } catch (const std::exception &Problem) {
    throw Error("http server", Options.Listen, Problem.what());
  }
}

HttpServer::~HttpServer() { this->stop(); }

const AnswerCounters &HttpServer::answers() const {
  return *this->Inner->Counters;
}

void HttpServer::stop() {
  if (!this->Inner->Running)
    return;
  this->Inner->Running = false;
  this->Inner->Endpoint.shutdown();
}

} // namespace yardwheel
