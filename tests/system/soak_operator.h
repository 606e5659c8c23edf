//===- tests/system/soak_operator.h - Changes of configuration --*- C++ -*-===//
///
/// \file
/// Sends configurations to any control replica: valid and invalid ones, one
/// again, two at once at two replicas; and reads back. What is read must have
/// been sent, be valid, and be as new as what was acknowledged before.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_SYSTEM_SOAK_OPERATOR_H
#define YARDWHEEL_TESTS_SYSTEM_SOAK_OPERATOR_H

#include "http/http_client.h"
#include "tests/system/soak_findings.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace yardwheel {

class SoakOperator {
public:
  /// \param Replicas Where they take an operator's calls. \param Storm Whether
  /// configurations are large and come in quick succession.
  SoakOperator(std::vector<std::string> Replicas, std::string Host,
               std::string Prefix, std::uint64_t Seed, bool Storm,
               SoakFindings &Findings);

  /// Sends the next valid configuration until it is acknowledged or refused, or
  /// \p Attempts are over. \returns whether it is acknowledged.
  bool change(int Attempts);
  /// Changes and reads until told to end.
  void run(const std::atomic<bool> &Over);
  /// Reads at these replicas, by their places among the addresses, until each
  /// has answered once.
  void readAll(const std::vector<std::size_t> &Present);
  int acknowledged() const;

private:
  using Clock = std::chrono::steady_clock;

  /// \returns what the route's timeouts and objectives are under a version.
  nlohmann::json config(std::uint64_t Version) const;
  std::uint64_t nextVersion();
  bool send(std::uint64_t Version, std::size_t Replica, int Attempts);
  bool sendOnce(HttpClient &Client, std::uint64_t Version, std::size_t Replica);
  void sendInvalid();
  void sendTwoAtOnce();
  /// \returns whether it was answered.
  bool read(std::size_t Replica);
  void checkRead(const std::string &Body, Clock::time_point SentAt);
  std::size_t anyReplica();
  int pick(int Low, int High);

  std::vector<std::string> Replicas;
  std::string Host;
  std::string Prefix;
  std::mt19937_64 Random;
  bool Storm;
  SoakFindings &Findings;
  std::uint64_t LastVersion = 0;
  mutable std::mutex Mutex;
  /// When each was acknowledged first.
  std::map<std::uint64_t, Clock::time_point> Acknowledged;
};

} // namespace yardwheel

#endif
