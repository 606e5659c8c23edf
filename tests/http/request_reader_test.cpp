//===- Random input and random segmentation --------------------------------=//
//
// The requests read from a connection must not depend on how its bytes are
// split into segments. No input may terminate the process or be read as
// requests after a refusal.
//
//===----------------------------------------------------------------------===//

#include "http/request_reader.h"
#include "tests/support/seeds.h"

#include <fmt/format.h>
#include <random>

// Included last, as it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;

namespace {

constexpr std::size_t HeadLimit = 400;
constexpr std::size_t BodyLimit = 60;
constexpr std::uint64_t DefaultSeeds = 2000;

using Random = std::mt19937_64;

std::size_t upTo(Random &Source, std::size_t Max) {
  return std::uniform_int_distribution<std::size_t>(0, Max)(Source);
}

std::string chunked(Random &Source, const std::string &Body) {
  std::string Text;
  for (std::size_t At = 0; At < Body.size();) {
    std::size_t Size = 1 + upTo(Source, Body.size() - At - 1);
    Text += fmt::format("{:x}\r\n{}\r\n", Size, Body.substr(At, Size));
    At += Size;
  }
  return Text + "0\r\n\r\n";
}

/// A request with a body of up to twice the limit.
std::string drawRequest(Random &Source) {
  const char *Methods[] = {"GET", "POST", "PUT", "DELETE", "HEAD"};
  std::string Body(upTo(Source, 2 * BodyLimit), 'b');
  std::string Head = fmt::format("{} /{} HTTP/1.1\r\nHost: t\r\n",
                                 Methods[upTo(Source, 4)], upTo(Source, 999));
  if (Body.size() < BodyLimit / 2)
    return Head + "\r\n";
  if (upTo(Source, 1) == 0)
    return Head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(Source, Body);
  return Head + fmt::format("Content-Length: {}\r\n\r\n{}", Body.size(), Body);
}

std::string drawStream(Random &Source) {
  std::string Bytes;
  for (std::size_t Left = 1 + upTo(Source, 4); Left > 0; --Left)
    Bytes += drawRequest(Source);
  return Bytes;
}

/// Changes, removes or duplicates some bytes.
void damage(Random &Source, std::string &Bytes) {
  for (std::size_t Left = 1 + upTo(Source, 3); Left > 0; --Left) {
    std::size_t At = upTo(Source, Bytes.size() - 1);
    std::size_t Size = 1 + upTo(Source, 10);
    switch (upTo(Source, 2)) {
    case 0:
      Bytes[At] = static_cast<char>(upTo(Source, 255));
      break;
    case 1:
      Bytes.erase(At, Size);
      break;
    default:
      Bytes.insert(At, Bytes.substr(At, Size));
    }
    if (Bytes.empty())
      Bytes = "x";
  }
}

/// Returns a description of all that a reader parses from \p Bytes, fed in
/// pieces of up to \p Piece bytes.
std::string readAll(Random &Source, const std::string &Bytes,
                    std::size_t Piece) {
  ReaderOptions Options{.MaxHeadBytes = HeadLimit, .MaxBodyBytes = BodyLimit};
  RequestReader Reader(Options);
  std::string Seen;
  for (std::size_t At = 0; At < Bytes.size();) {
    std::size_t Size = std::min(1 + upTo(Source, Piece - 1), Bytes.size() - At);
    Reader.feed(std::string_view(Bytes).substr(At, Size));
    At += Size;
    while (auto Next = Reader.next()) {
      CHECK_FALSE(Reader.refusal().has_value());
      CHECK(Next->Request.Body.size() <= BodyLimit);
      Seen += fmt::format("{}={} ", Next->Request.Resource,
                          Next->Request.Body.size());
    }
  }
  bool Stopped = Reader.refusal() || Reader.isInRequest();
  return Seen + (Stopped ? "and no more" : "");
}

} // namespace

TEST_GROUP(RequestReaderTest){};

TEST(RequestReaderTest, SegmentationDoesNotChangeTheRequests) {
  SeedRange Seeds = seedRange(DefaultSeeds);
  for (std::uint64_t Seed = Seeds.First; Seed <= Seeds.Last; ++Seed) {
    Random Source(Seed);
    std::string Bytes = drawStream(Source);
    std::string Whole = readAll(Source, Bytes, Bytes.size());
    std::string Message = fmt::format("seed {}", Seed);
    CHECK_TEXT(!Whole.empty(), Message.c_str());
    for (std::size_t Piece : {1U, 7U, 100U})
      STRCMP_EQUAL_TEXT(Whole.c_str(), readAll(Source, Bytes, Piece).c_str(),
                        Message.c_str());
  }
}

// When an error is detected may depend on the segmentation, since a line whose
// end is missing looks like an incomplete one. The requests read before it must
// not depend on it.
TEST(RequestReaderTest, SegmentationDoesNotChangeDamagedInput) {
  SeedRange Seeds = seedRange(DefaultSeeds);
  for (std::uint64_t Seed = Seeds.First; Seed <= Seeds.Last; ++Seed) {
    Random Source(Seed);
    std::string Bytes = drawStream(Source);
    damage(Source, Bytes);
    std::string Whole = readAll(Source, Bytes, Bytes.size());
    std::string Message = fmt::format("seed {}", Seed);
    for (std::size_t Piece : {1U, 7U, 100U})
      STRCMP_EQUAL_TEXT(Whole.c_str(), readAll(Source, Bytes, Piece).c_str(),
                        Message.c_str());
  }
}
