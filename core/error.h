//===- core/error.h - Errors that say where they arose ----------*- C++ -*-===//
///
/// \file
/// The project's exception type. It carries the step and the peer at which an
/// error arose, so that a report never needs guessing.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CORE_ERROR_H
#define YARDWHEEL_CORE_ERROR_H

#include <stdexcept>
#include <string>

namespace yardwheel {

class Error : public std::runtime_error {
public:
  /// \param Step What was being done, as a short noun ("settings", "claim").
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
