#include "platform/worker_client.h"

#include <arpa/inet.h>
#include <atomic>
#include <condition_variable>
#include <fmt/format.h>
#include <functional>
#include <sys/socket.h>
#include <unistd.h>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace yardwheel::platform;
using namespace std::chrono_literals;

namespace {

constexpr const char *AcceptedResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"clockMs\":10}";
constexpr const char *UnavailableResponse =
    "HTTP/1.1 503 Unavailable\r\nContent-Length: 2\r\n\r\n{}";
constexpr const char *MisdirectedResponse =
    "HTTP/1.1 421 Misdirected\r\nContent-Length: 2\r\n\r\n{}";

/// A worker on loopback. It answers its first call, reads the second and closes
/// the connection instead of answering. What it does next depends on the test.
class DisconnectingWorker {
public:
  /// \param Later The answer to calls on later connections; if null, it accepts
  /// no further connections.
  explicit DisconnectingWorker(const char *Later) : Later(Later) {
    this->Listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof Address;
    auto *Plain = reinterpret_cast<sockaddr *>(&Address);
    bool Bound = ::bind(this->Listener, Plain, Size) == 0 &&
                 ::listen(this->Listener, 8) == 0 &&
                 ::getsockname(this->Listener, Plain, &Size) == 0;
    CHECK(Bound);
    this->Port = ntohs(Address.sin_port);
    this->Thread = std::thread([this] { this->run(); });
  }
  ~DisconnectingWorker() {
    ::shutdown(this->Listener, SHUT_RDWR);
    this->Thread.join();
    ::close(this->Listener);
  }
  DisconnectingWorker(const DisconnectingWorker &) = delete;
  DisconnectingWorker &operator=(const DisconnectingWorker &) = delete;

  std::string address() const {
    return fmt::format("127.0.0.1:{}", this->Port);
  }

private:
  void run() {
    int First = ::accept(this->Listener, nullptr, nullptr);
    if (First < 0)
      return;
    if (readCall(First))
      answer(First, AcceptedResponse);
    readCall(First);
    // Stop listening before closing the connection, so that no client connects
    // in between.
    if (this->Later == nullptr)
      ::shutdown(this->Listener, SHUT_RDWR);
    ::close(First);
    while (this->Later != nullptr) {
      int Next = ::accept(this->Listener, nullptr, nullptr);
      if (Next < 0)
        return;
      if (readCall(Next))
        answer(Next, this->Later);
      ::close(Next);
    }
  }
  /// \returns false if the caller closed the connection.
  static bool readCall(int Connection) {
    std::string Text;
    char Part[4096];
    // The body of a call is one JSON object, and only the body has braces.
    while (Text.empty() || Text.back() != '}') {
      ssize_t Bytes = ::recv(Connection, Part, sizeof Part, 0);
      if (Bytes <= 0)
        return false;
      Text.append(Part, static_cast<std::size_t>(Bytes));
    }
    return true;
  }
  static void answer(int Connection, const char *Text) {
    std::string_view Whole(Text);
    ssize_t Sent = ::send(Connection, Whole.data(), Whole.size(), MSG_NOSIGNAL);
    if (Sent != static_cast<ssize_t>(Whole.size()))
      ::shutdown(Connection, SHUT_RDWR);
  }

  const char *Later;
  int Listener = -1;
  int Port = 0;
  std::thread Thread;
};

/// Collects the replies, for which a test can wait.
class CollectingReplies final : public WorkerReplies {
public:
  void onStart(const WorkerIncarnation &, const RunKey &,
               WorkerReply Reply) override {
    this->add(std::move(Reply));
  }
  void onStop(const WorkerIncarnation &, const RunKey &,
              WorkerReply Reply) override {
    this->add(std::move(Reply));
  }
  void onHold(const WorkerIncarnation &, WorkerReply Reply) override {
    this->add(std::move(Reply));
  }
  WorkerReply next() {
    std::unique_lock Lock(this->Mutex);
    bool Came = this->Changed.wait_for(
        Lock, 10s, [this] { return !this->Replies.empty(); });
    CHECK_TEXT(Came, "no reply in 10 s");
    WorkerReply Reply = this->Replies.front();
    this->Replies.pop_front();
    return Reply;
  }

private:
  void add(WorkerReply Reply) {
    std::lock_guard Lock(this->Mutex);
    this->Replies.push_back(std::move(Reply));
    this->Changed.notify_one();
  }
  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<WorkerReply> Replies;
};

WorkerProfile profileAt(const std::string &Address) {
  WorkerProfile Profile;
  Profile.Id = "w";
  Profile.Address = Address;
  return Profile;
}

/// Timeouts long enough that no call times out on a busy machine.
WorkerClientOptions patientOptions() {
  WorkerClientOptions Options;
  Options.CallTimeout = 5000ms;
  Options.HoldSlack = 5000ms;
  Options.ConnectTimeout = 5000ms;
  return Options;
}

StartCall startOf(const char *Job) {
  StartCall Call;
  Call.Run = {Job, 0, 1};
  Call.Spec = "text";
  return Call;
}

} // namespace

TEST_GROUP(WorkerClientTest){};

// The worker has read the start and may have started the run. No response on
// another connection proves that it has not.
TEST(WorkerClientTest, AStartWithABrokenConnectionMayHaveRun) {
  struct Row {
    const char *Name;
    const char *Later;
  };
  const Row Rows[] = {{"the worker has ended", nullptr},
                      {"the worker is unavailable", UnavailableResponse},
                      {"another incarnation answers", MisdirectedResponse}};
  for (const Row &Row : Rows) {
    DisconnectingWorker Worker(Row.Later);
    CollectingReplies Replies;
    WorkerClient Client(patientOptions(), Replies);
    Client.attach(profileAt(Worker.address()));
    Client.start(startOf("first"));
    CHECK_TEXT(Replies.next().Answered, Row.Name);
    Client.start(startOf("second"));
    CHECK_TEXT(!Replies.next().Answered, Row.Name);
  }
}

TEST(WorkerClientTest, AStartWithoutAConnectionHasNotRun) {
  std::string Nowhere;
  {
    DisconnectingWorker Worker(nullptr);
    Nowhere = Worker.address();
  }
  CollectingReplies Replies;
  WorkerClient Client(patientOptions(), Replies);
  Client.attach(profileAt(Nowhere));
  Client.start(startOf("first"));
  WorkerReply Reply = Replies.next();
  CHECK(Reply.Answered);
  CHECK(Reply.Refusal == WorkerRefusal::Unhealthy);
}

// Stop and hold calls are idempotent, so they may arrive twice.
TEST(WorkerClientTest, AStopWithABrokenConnectionIsSentAgain) {
  DisconnectingWorker Worker(AcceptedResponse);
  CollectingReplies Replies;
  WorkerClient Client(patientOptions(), Replies);
  Client.attach(profileAt(Worker.address()));
  Client.start(startOf("first"));
  CHECK(Replies.next().Answered);
  Client.stop({{"first", 0, 1}, 1});
  CHECK(Replies.next().Answered);
}
