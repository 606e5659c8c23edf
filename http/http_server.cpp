#include "http/http_server.h"

#include "core/error.h"
#include "core/logger.h"
#include "http/answer_writer.h"
#include "http/connection_watch.h"
#include "http/http_connection.h"
#include "http/request_reader.h"

#include <atomic>
#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>
#include <sys/socket.h>
#include <system_error>

namespace yardwheel {

namespace {

/// After its last answer, for a caller to close the connection.
constexpr Duration LingerTimeout = std::chrono::seconds(5);

/// Requests on one connection that wait for their answers. A caller that sends
/// more without reading is not served at the others' cost.
constexpr std::uint64_t MaxPendingAnswers = 64;

/// The library ends no connection by itself within this: ConnectionWatch does.
constexpr std::chrono::hours LibraryTimeout{24 * 365};

/// Sent to a caller that asks before it sends a body.
constexpr const char *ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

/// An answer of the server's own, which knows no handler's format.
HttpAnswer plainAnswer(const ReadRefusal &Why) {
  return {.Status = Why.Status,
          .Body = Why.Reason + ".\n",
          .ContentType = "text/plain"};
}

/// What the connections and replies of one server share; they may outlive it.
struct ServerState {
  explicit ServerState(const HttpServerOptions &Options)
      : Reading{.MaxBodyBytes = Options.MaxBodyBytes,
                .Headers = Options.Headers},
        Timeouts{.Request = Options.HeaderTimeout,
                 .Idle = Options.IdleTimeout,
                 .Linger = LingerTimeout},
        Watch([this](const std::shared_ptr<HttpConnection> &Late,
                     std::uint64_t Place) {
          this->Answers.writeLast(
              Late, Place,
              plainAnswer({HttpStatus::RequestTimeout,
                           "the request took too long to come"}));
        }) {}

  const ReaderOptions Reading;
  const ConnectionTimeouts Timeouts;
  AnswerWriter Answers;
  /// Last: its thread uses the others.
  ConnectionWatch Watch;
};

/// What is known of one connection, kept with the library's peer, so that both
/// end together.
struct Intake {
  Intake(int Descriptor, const ServerState &Server)
      : Reader(Server.Reading), Connection(std::make_shared<HttpConnection>(
                                    Descriptor, Server.Timeouts)) {}
  RequestReader Reader;
  std::shared_ptr<HttpConnection> Connection;
};

constexpr const char *IntakeKey = "intake";

std::shared_ptr<Intake>
intakeOf(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) {
  return std::static_pointer_cast<Intake>(Peer->tryGetData(IntakeKey));
}

class ConnectionReply final : public HttpReply {
public:
  ConnectionReply(const AnswerForm &Form,
                  const std::shared_ptr<HttpConnection> &Connection,
                  std::uint64_t Place, bool EndsInput,
                  std::shared_ptr<ServerState> Server)
      : Form(Form), Connection(Connection), Place(Place), EndsInput(EndsInput),
        Server(std::move(Server)) {
    this->Server->Answers.counters().countRequest();
  }

  /// A reply that is dropped would hold back all later answers on its
  /// connection.
  ~ConnectionReply() override {
    if (this->Sent.load())
      return;
    if (std::shared_ptr<HttpConnection> Open = this->Connection.lock())
      Open->end();
    this->Server->Answers.counters().countSettled();
  }
  ConnectionReply(const ConnectionReply &) = delete;
  ConnectionReply &operator=(const ConnectionReply &) = delete;

  void send(const HttpAnswer &Answer) override {
    if (this->Sent.exchange(true))
      return;
    std::shared_ptr<HttpConnection> Open = this->Connection.lock();
    // Where requests behind this one have been taken, the connection has to
    // stay for their answers.
    if (Answer.Close && Open && Open->makeLast(this->Place))
      this->Form.KeepsConnection = false;
    this->Server->Answers.write(Open, this->Place, Answer, this->Form);
    this->Server->Answers.counters().countSettled();
  }

  bool hasClient() const override {
    std::shared_ptr<HttpConnection> Open = this->Connection.lock();
    return Open && Open->hasCaller();
  }

  std::optional<RequestAge> age() const override {
    std::shared_ptr<HttpConnection> Open = this->Connection.lock();
    std::optional<RequestAge> Age = Open ? Open->inputAge() : std::nullopt;
    if (Age && !this->EndsInput)
      Age->AtMost.reset();
    return Age;
  }

private:
  AnswerForm Form;
  /// Ends with the library's peer.
  std::weak_ptr<HttpConnection> Connection;
  std::uint64_t Place;
  /// Whether nothing behind the request had been read with it.
  bool EndsInput;
  std::shared_ptr<ServerState> Server;
  std::atomic<bool> Sent{false};
};

/// Reads connections in the library's place. The library answers what it
/// cannot read past our answers, forgets it, and takes what follows for the
/// next request; it drops what comes in one segment behind a request. So it
/// only gets us the bytes.
class PistacheHandler final : public Pistache::Http::Handler {
public:
  HTTP_PROTOTYPE(PistacheHandler)

  PistacheHandler(std::shared_ptr<HttpHandler> Target,
                  std::shared_ptr<ServerState> Server)
      : Target(std::move(Target)), Server(std::move(Server)) {}

  void onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    // The library looks for a parser and its age at each connection.
    Peer->putData(ParserData,
                  std::make_shared<Pistache::Http::RequestParser>(0));
    Peer->setIdle(true);
    auto New = std::make_shared<Intake>(Peer->fd(), *this->Server);
    Peer->putData(IntakeKey, New);
    // Without a descriptor there is no answer; the caller learns it at once.
    if (New->Connection->descriptor() < 0)
      ::shutdown(Peer->fd(), SHUT_RDWR);
    this->Server->Watch.add(New->Connection);
  }

  void onInput(const char *Bytes, std::size_t Size,
               const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    std::shared_ptr<Intake> Known = intakeOf(Peer);
    if (!Known)
      return;
    HttpConnection &Connection = *Known->Connection;
    if (Connection.hasEnded()) {
      // The library reads what is left and then closes; the kernel, which
      // resets a connection that is closed on unread input, finds none.
      resetWhenClosed(Peer->fd());
      return;
    }
    if (Connection.takesRequests())
      this->read(*Known, {Bytes, Size}, Peer->getID());
    Connection.noteInput(Size, Known->Reader.isInRequest());
    if (Known->Reader.takeContinueWish())
      Connection.writeInterim(ContinueAnswer);
  }

  void
  onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    // The last moment at which the descriptor's number is surely this one's.
    if (std::shared_ptr<Intake> Known = intakeOf(Peer))
      Known->Connection->close();
    this->Target->onDisconnect(Peer->getID());
  }

  /// Not called, as the library reads nothing.
  void onRequest(const Pistache::Http::Request &,
                 Pistache::Http::ResponseWriter) override {}

private:
  void read(Intake &Known, std::string_view Bytes, std::uint64_t Id) {
    RequestReader &Reader = Known.Reader;
    Reader.feed(Bytes);
    while (Known.Connection->takesRequests()) {
      std::optional<ReadRequest> Next = Reader.next();
      if (!Next)
        break;
      Next->Request.Connection = Id;
      this->take(Known, *Next);
    }
    if (Reader.refusal())
      this->refuse(Known, *Reader.refusal());
  }

  void take(Intake &Known, const ReadRequest &Next) {
    HttpConnection &Connection = *Known.Connection;
    if (Connection.pendingAnswers() >= MaxPendingAnswers) {
      this->refuse(Known, {HttpStatus::TooManyRequests,
                           "too many requests wait on this connection; this "
                           "one has not run"});
      return;
    }
    std::optional<std::uint64_t> Place = Next.Form.KeepsConnection
                                             ? Connection.expectAnswer()
                                             : Connection.expectLastAnswer();
    // Its caller has just been told that it took too long.
    if (!Place)
      return;
    this->handle(Next.Request, std::make_shared<ConnectionReply>(
                                   Next.Form, Known.Connection, *Place,
                                   !Known.Reader.hasMore(), this->Server));
  }

  void handle(const HttpRequest &Request, std::shared_ptr<HttpReply> Reply) {
    try {
      this->Target->handle(Request, std::move(Reply));
    } catch (const std::exception &Problem) {
      // The dropped reply has ended the connection.
      this->Log.error("A request for {} was dropped: {}.", Request.Resource,
                      Problem.what());
    }
  }

  void refuse(Intake &Known, const ReadRefusal &Why) {
    HttpConnection &Connection = *Known.Connection;
    std::optional<std::uint64_t> Place = Connection.expectLastAnswer();
    if (!Place)
      return;
    this->Log.decision("request_unread",
                       {{"status", static_cast<int>(Why.Status)},
                        {"reason", Why.Reason},
                        {"answers_pending", Connection.pendingAnswers() - 1}});
    this->Server->Answers.writeLast(Known.Connection, *Place, plainAnswer(Why));
  }

  std::shared_ptr<HttpHandler> Target;
  std::shared_ptr<ServerState> Server;
  Logger Log{"http"};
};

} // namespace

class HttpServer::Implementation {
public:
  explicit Implementation(const HttpServerOptions &Options)
      : Server(std::make_shared<ServerState>(Options)),
        Endpoint(Pistache::Address(Options.Listen)) {}
  std::shared_ptr<ServerState> Server;
  Pistache::Http::Endpoint Endpoint;
  bool Running = false;
};

HttpServer::HttpServer(const HttpServerOptions &Options,
                       std::shared_ptr<HttpHandler> Handler) {
  try {
    this->Inner = std::make_unique<Implementation>(Options);
    auto Settings = Pistache::Http::Endpoint::options()
                        .threads(static_cast<int>(Options.Threads))
                        .headerTimeout(LibraryTimeout)
                        .bodyTimeout(LibraryTimeout)
                        .keepaliveTimeout(LibraryTimeout)
                        .flags(Pistache::Flags<Pistache::Tcp::Options>(
                            Pistache::Tcp::Options::ReuseAddr));
    this->Inner->Endpoint.init(Settings);
    this->Inner->Endpoint.setHandler(std::make_shared<PistacheHandler>(
        std::move(Handler), this->Inner->Server));
    this->Inner->Endpoint.serveThreaded();
    this->Inner->Running = true;
  } catch (const std::exception &Problem) {
    throw Error("http server", Options.Listen, Problem.what());
  }
}

HttpServer::~HttpServer() { this->stop(); }

const AnswerCounters &HttpServer::answers() const {
  return this->Inner->Server->Answers.counters();
}

void HttpServer::stop() {
  if (!this->Inner->Running)
    return;
  this->Inner->Running = false;
  this->Inner->Endpoint.shutdown();
}

} // namespace yardwheel
