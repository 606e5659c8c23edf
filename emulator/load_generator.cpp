#include "emulator/load_generator.h"

#include "http/http_client.h"

#include <algorithm>
#include <mutex>
#include <thread>

namespace yardwheel {

namespace {

constexpr long HttpOk = 200;

/// Runs the requests of one caller.
LoadResult runCaller(const LoadOptions &Options, std::uint32_t Number) {
  LoadResult Result;
  HttpClient Client(Options.Timeout);
  const std::string &Url = Options.Urls[Number % Options.Urls.size()];
  for (std::uint32_t I = 0; I < Options.Requests; ++I) {
    auto Start = std::chrono::steady_clock::now();
    HttpResult Answer = Client.call("POST", Url, Options.Body);
    auto Time = std::chrono::steady_clock::now() - Start;
    ++Result.Statuses[Answer.Status];
    if (Answer.Status == HttpOk)
      Result.Times.push_back(
          std::chrono::duration_cast<std::chrono::microseconds>(Time));
  }
  return Result;
}

} // namespace

LoadResult runLoad(const LoadOptions &Options) {
  LoadResult Total;
  std::mutex Mutex;
  std::vector<std::thread> Threads;
  auto Start = std::chrono::steady_clock::now();
  for (std::uint32_t I = 0; I < Options.Callers; ++I)
    Threads.emplace_back([&, I] {
      LoadResult Part = runCaller(Options, I);
      std::lock_guard Lock(Mutex);
      Total.Times.insert(Total.Times.end(), Part.Times.begin(),
                         Part.Times.end());
      for (const auto &[Status, Count] : Part.Statuses)
        Total.Statuses[Status] += Count;
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  Total.Elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - Start);
  std::sort(Total.Times.begin(), Total.Times.end());
  return Total;
}

std::chrono::microseconds
quantile(const std::vector<std::chrono::microseconds> &Sorted, double Share) {
  if (Sorted.empty())
    return {};
  auto Rank =
      static_cast<std::size_t>(Share * static_cast<double>(Sorted.size()));
  return Sorted[std::min(Rank, Sorted.size() - 1)];
}

} // namespace yardwheel
