//===- emulator/fake_upstream_main.cpp - Fake upstream program ------------===//

#include "core/logger.h"
#include "emulator/fake_upstream.h"

#include <csignal>
#include <gflags/gflags.h>

DEFINE_string(name, "upstream",
              "Name of the upstream in the lines of --start_log.");
DEFINE_string(listen, "127.0.0.1:7100", "IP number and port.");
DEFINE_int32(shortest_ms, 50, "Shortest service time in milliseconds.");
DEFINE_int32(longest_ms, 50, "Longest service time in milliseconds.");
DEFINE_int32(straggler_percent, 0, "Percentage of tasks that take longer.");
DEFINE_int32(straggler_factor, 10,
             "Factor on the service time of these tasks.");
DEFINE_int32(fail_percent, 0, "Percentage of tasks that fail.");
DEFINE_string(start_log, "",
              "Path of a file that gets a line for each task start.");
DEFINE_uint64(seed, 1, "Seed of the random numbers.");

int main(int Count, char **Arguments) {
  using namespace yardwheel;
  gflags::SetUsageMessage("A simulated upstream.");
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  Logger Log("fake upstream");
  try {
    FakeUpstreamOptions Options;
    Options.Name = FLAGS_name;
    Options.Listen = FLAGS_listen;
    Options.ShortestService = std::chrono::milliseconds(FLAGS_shortest_ms);
    Options.LongestService = std::chrono::milliseconds(FLAGS_longest_ms);
    Options.StragglerPercent =
        static_cast<std::uint32_t>(FLAGS_straggler_percent);
    Options.StragglerFactor =
        static_cast<std::uint32_t>(FLAGS_straggler_factor);
    Options.FailPercent = static_cast<std::uint32_t>(FLAGS_fail_percent);
    Options.StartLog = FLAGS_start_log;
    Options.Seed = FLAGS_seed;
    HttpServer Server({.Listen = FLAGS_listen, .Threads = 1},
                      std::make_shared<FakeUpstream>(Options));
    Log.info("{} listens at {}.", FLAGS_name, FLAGS_listen);
    int Signal = 0;
    sigwait(&Signals, &Signal);
    Server.stop();
  } catch (const std::exception &Problem) {
    Log.error("{}.", Problem.what());
    return 1;
  }
  return 0;
}
