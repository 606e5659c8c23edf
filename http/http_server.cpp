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

/// How long a caller may take to close the connection after its last answer.
constexpr Duration LingerTimeout = std::chrono::seconds(5);

/// The maximum number of unanswered requests on a connection. A caller that
/// sends more without reading must not be served at the expense of others.
constexpr std::uint64_t MaxPendingAnswers = 64;

/// Long enough to disable the library's timeouts; ConnectionWatch has our own.
constexpr std::chrono::hours LibraryTimeout{24 * 365};

/// Sent to a caller that expects it before it sends the body.
constexpr const char *ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

/// When a request is to be sent again that found no room. What waits is mostly
/// answered by then.
constexpr std::chrono::milliseconds NoRoomRetry{1000};

/// Makes an answer of the server itself, independent of the handler's format.
HttpAnswer plainAnswer(const ReadRefusal &Why) {
  HttpAnswer Answer{.Status = Why.Status,
                    .Body = Why.Reason + ".\n",
                    .ContentType = "text/plain"};
  if (Why.Status == HttpStatus::Unavailable)
    Answer.RetryAfter = NoRoomRetry;
  return Answer;
}

/// State shared by the connections and replies of a server, which may outlive
/// the server.
struct ServerState {
  explicit ServerState(const HttpServerOptions &Options)
      : Reading{.MaxBodyBytes = Options.MaxBodyBytes,
                .Headers = Options.Headers},
        MaxInputBytes(Options.MaxInputBytes),
        Timeouts{.Request = Options.HeaderTimeout,
                 .Idle = Options.IdleTimeout,
                 .Linger = LingerTimeout},
        Watch([this](const std::shared_ptr<HttpConnection> &Late,
                     std::uint64_t Sequence) {
          this->Answers.writeLast(
              Late, Sequence,
              plainAnswer({HttpStatus::RequestTimeout,
                           "the request took too long to come"}));
        }) {}

  const ReaderOptions Reading;
  const std::size_t MaxInputBytes;
  /// What all connections hold, and the requests that wait for their answer.
  std::atomic<std::size_t> InputBytes{0};
  std::atomic<std::size_t> Connections{0};
  const ConnectionTimeouts Timeouts;
  AnswerWriter Answers;
  /// Declared last, as its thread uses the other members.
  ConnectionWatch Watch;
};

/// Counts a part of the server's input for as long as it exists.
class InputShare {
public:
  explicit InputShare(std::shared_ptr<ServerState> Server)
      : Server(std::move(Server)) {}
  ~InputShare() { this->set(0); }
  InputShare(const InputShare &) = delete;
  InputShare &operator=(const InputShare &) = delete;

  void set(std::size_t NewBytes) {
    this->Server->InputBytes += NewBytes - this->Bytes;
    this->Bytes = NewBytes;
  }
  bool hasRoomFor(std::size_t Added) const {
    return this->Server->InputBytes.load() + Added <=
           this->Server->MaxInputBytes;
  }

private:
  std::shared_ptr<ServerState> Server;
  std::size_t Bytes = 0;
};

/// The state of a connection, stored in the library's peer object and destroyed
/// with it.
struct ConnectionState {
  ConnectionState(int Descriptor, const std::shared_ptr<ServerState> &Server)
      : Input(Server), Reader(Server->Reading),
        Connection(
            std::make_shared<HttpConnection>(Descriptor, Server->Timeouts)),
        Server(Server) {
    ++this->Server->Connections;
  }
  ~ConnectionState() { --this->Server->Connections; }
  ConnectionState(const ConnectionState &) = delete;
  ConnectionState &operator=(const ConnectionState &) = delete;

  /// Declared first, as the reader uses the server's options.
  InputShare Input;
  RequestReader Reader;
  std::shared_ptr<HttpConnection> Connection;
  std::shared_ptr<ServerState> Server;
};

constexpr const char *ConnectionStateKey = "intake";

std::shared_ptr<ConnectionState>
connectionStateOf(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) {
  return std::static_pointer_cast<ConnectionState>(
      Peer->tryGetData(ConnectionStateKey));
}

class ConnectionReply final : public HttpReply {
public:
  ConnectionReply(const AnswerForm &Form,
                  const std::shared_ptr<HttpConnection> &Connection,
                  std::uint64_t Sequence, bool IsLastInput,
                  std::size_t BodyBytes, std::shared_ptr<ServerState> Server)
      : Form(Form), Connection(Connection), Sequence(Sequence),
        IsLastInput(IsLastInput), Input(Server), Server(std::move(Server)) {
    this->Input.set(BodyBytes);
    this->Server->Answers.counters().countRequest();
  }

  /// Ends the connection if the reply was dropped, which would otherwise block
  /// all later answers on it.
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
    // If later requests have been accepted, the connection has to stay open for
    // their answers.
    if (Answer.Close && Open && Open->makeLast(this->Sequence))
      this->Form.KeepsConnection = false;
    this->Server->Answers.write(Open, this->Sequence, Answer, this->Form);
    this->Server->Answers.counters().countSettled();
  }

  bool hasClient() const override {
    std::shared_ptr<HttpConnection> Open = this->Connection.lock();
    return Open && Open->hasCaller();
  }

  std::optional<RequestAge> age() const override {
    std::shared_ptr<HttpConnection> Open = this->Connection.lock();
    std::optional<RequestAge> Age = Open ? Open->inputAge() : std::nullopt;
    if (Age && !this->IsLastInput)
      Age->AtMost.reset();
    return Age;
  }

private:
  AnswerForm Form;
  /// Destroyed with the library's peer object.
  std::weak_ptr<HttpConnection> Connection;
  std::uint64_t Sequence;
  /// Whether no input after the request was read together with it.
  bool IsLastInput;
  InputShare Input;
  std::shared_ptr<ServerState> Server;
  std::atomic<bool> Sent{false};
};

/// Parses requests instead of the library, which only delivers the bytes. The
/// library answers a malformed request without regard to our answers, discards
/// it and takes the following bytes for the next request. It also drops bytes
/// that arrive in the same segment after a request.
class PistacheHandler final : public Pistache::Http::Handler {
public:
  HTTP_PROTOTYPE(PistacheHandler)

  PistacheHandler(std::shared_ptr<HttpHandler> Target,
                  std::shared_ptr<ServerState> Server)
      : Target(std::move(Target)), Server(std::move(Server)) {}

  void onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    // The library expects every connection to have a parser with its age.
    Peer->putData(ParserData,
                  std::make_shared<Pistache::Http::RequestParser>(0));
    Peer->setIdle(true);
    auto New = std::make_shared<ConnectionState>(Peer->fd(), this->Server);
    Peer->putData(ConnectionStateKey, New);
    // No answer can be written without a descriptor, so the caller must learn
    // of it at once.
    if (New->Connection->descriptor() < 0)
      ::shutdown(Peer->fd(), SHUT_RDWR);
    this->Server->Watch.add(New->Connection);
  }

  void onInput(const char *Bytes, std::size_t Size,
               const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    std::shared_ptr<ConnectionState> Known = connectionStateOf(Peer);
    if (!Known)
      return;
    HttpConnection &Connection = *Known->Connection;
    if (Connection.hasEnded()) {
      // The library reads the remaining input before it closes, so the kernel
      // would not reset the connection for unread input.
      resetWhenClosed(Peer->fd());
      return;
    }
    if (Connection.takesRequests())
      this->read(*Known, {Bytes, Size}, Peer->getID());
    Connection.noteInput(Size, Known->Reader.isInRequest());
    if (Known->Reader.takeContinueExpectation())
      Connection.writeInterim(ContinueAnswer);
  }

  void
  onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    // Closed here, as the descriptor number may be reused after this call.
    if (std::shared_ptr<ConnectionState> Known = connectionStateOf(Peer))
      Known->Connection->close();
    this->Target->onDisconnect(Peer->getID());
  }

  /// Never called, as the library does not parse requests.
  void onRequest(const Pistache::Http::Request &,
                 Pistache::Http::ResponseWriter) override {}

private:
  void read(ConnectionState &Known, std::string_view Bytes, std::uint64_t Id) {
    RequestReader &Reader = Known.Reader;
    if (!Known.Input.hasRoomFor(Bytes.size())) {
      this->refuse(Known, {HttpStatus::Unavailable,
                           "too many requests wait; this one has not run"});
      return;
    }
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
    Known.Input.set(Reader.heldBytes());
  }

  void take(ConnectionState &Known, const ReadRequest &Next) {
    HttpConnection &Connection = *Known.Connection;
    if (Connection.pendingAnswers() >= MaxPendingAnswers) {
      this->refuse(Known, {HttpStatus::TooManyRequests,
                           "too many requests wait on this connection; this "
                           "one has not run"});
      return;
    }
    std::optional<std::uint64_t> Sequence =
        Next.Form.KeepsConnection ? Connection.reserveAnswer()
                                  : Connection.reserveLastAnswer();
    // The caller has just been sent a timeout.
    if (!Sequence)
      return;
    this->handle(Next.Request, std::make_shared<ConnectionReply>(
                                   Next.Form, Known.Connection, *Sequence,
                                   !Known.Reader.hasMore(),
                                   Next.Request.Body.size(), this->Server));
  }

  void handle(const HttpRequest &Request, std::shared_ptr<HttpReply> Reply) {
    try {
      this->Target->handle(Request, std::move(Reply));
    } catch (const std::exception &Problem) {
      // The dropped reply has closed the connection.
      this->Log.error("The handler of {} failed: {}.", Request.Resource,
                      Problem.what());
    }
  }

  void refuse(ConnectionState &Known, const ReadRefusal &Why) {
    HttpConnection &Connection = *Known.Connection;
    std::optional<std::uint64_t> Sequence = Connection.reserveLastAnswer();
    if (!Sequence)
      return;
    this->Log.decision("request_unread",
                       {{"status", static_cast<int>(Why.Status)},
                        {"reason", Why.Reason},
                        {"answers_pending", Connection.pendingAnswers() - 1}});
    this->Server->Answers.writeLast(Known.Connection, *Sequence,
                                    plainAnswer(Why));
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

std::size_t HttpServer::connections() const {
  return this->Inner->Server->Connections.load();
}

std::size_t HttpServer::inputBytes() const {
  return this->Inner->Server->InputBytes.load();
}

void HttpServer::stop() {
  if (!this->Inner->Running)
    return;
  this->Inner->Running = false;
  this->Inner->Endpoint.shutdown();
}

} // namespace yardwheel
