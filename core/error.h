//===- core/error.h - Exceptions with step and peer -------------*- C++ -*-===//
///
/// \file
/// The project's exception type. It carries the step that failed and the peer
/// concerned, so that a report shows where the error arose.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CORE_ERROR_H
#define YARDWHEEL_CORE_ERROR_H

#include <stdexcept>
#include <string>

namespace yardwheel {

class Error : public std::runtime_error {
public:
  /// \param Step The operation that failed, as a noun ("settings", "claim").
  /// \param Peer The file, node or address concerned; may be empty.
  Error(std::string Step, std::string Peer, const std::string &Reason);

  const std::string &step() const { return this->Step; }
  const std::string &peer() const { return this->Peer; }

private:
  std::string Step;
  std::string Peer;
};

} // namespace yardwheel

#endif
