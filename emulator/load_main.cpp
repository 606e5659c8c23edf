//===- emulator/load_main.cpp - The load tool -----------------------------===//

#include "emulator/load_generator.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <sstream>

DEFINE_string(urls, "", "Comma-separated URLs that accept a POST.");
DEFINE_string(body, "{\"tasks\":[{\"payload\":\"sleep=50 x\"}]}",
              "The body of every request.");
DEFINE_uint32(callers, 1, "Threads, each with one connection.");
DEFINE_uint32(requests, 100, "Requests of each caller.");
DEFINE_string(label, "load", "Label of the printed row.");

int main(int Count, char **Arguments) {
  using namespace yardwheel;
  gflags::SetUsageMessage("Submits jobs and prints their response times.");
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  LoadOptions Options;
  std::istringstream Urls(FLAGS_urls);
  for (std::string Url; std::getline(Urls, Url, ',');)
    Options.Urls.push_back(Url);
  if (Options.Urls.empty()) {
    fmt::print(stderr, "--urls: expected at least one\n");
    return 2;
  }
  Options.Body = FLAGS_body;
  Options.Callers = FLAGS_callers;
  Options.Requests = FLAGS_requests;
  LoadResult Result = runLoad(Options);
  constexpr double MicrosPerSecond = 1e6;
  double Seconds =
      static_cast<double>(Result.Elapsed.count()) / MicrosPerSecond;
  fmt::print("{}: ok {} in {:.2f} s ({:.0f}/s), p50 {} us, p99 {} us",
             FLAGS_label, Result.Times.size(), Seconds,
             static_cast<double>(Result.Times.size()) / Seconds,
             quantile(Result.Times, 0.5).count(),
             quantile(Result.Times, 0.99).count());
  for (const auto &[Status, Answers] : Result.Statuses)
    fmt::print(", status {}: {}", Status, Answers);
  fmt::print("\n");
  return Result.Times.empty() ? 1 : 0;
}
