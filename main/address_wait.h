//===- main/address_wait.h - Addresses that are still in use ----*- C++ -*-===//
///
/// \file
/// Waits at the start of a process until its addresses are free. The host's
/// former process, or a connection of it, may still use them; a host that has
/// lost its disk is needed by the others as soon as it is back.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_MAIN_ADDRESS_WAIT_H
#define YARDWHEEL_MAIN_ADDRESS_WAIT_H

#include "settings/node_plan.h"
#include "settings/settings.h"

#include <chrono>
#include <string>
#include <vector>

namespace yardwheel {

/// The maximum wait for the addresses of a process. After it, whoever binds an
/// address reports it, and the process ends.
constexpr std::chrono::milliseconds AddressTimeout{5000};

/// Returns the addresses, as "IP:PORT", that a process of this plan or with
/// these settings listens at.
std::vector<std::string> listenAddresses(const NodePlan &Plan);
std::vector<std::string> listenAddresses(const Settings &Values);

/// Waits until no other socket uses any of the addresses, for at most the
/// timeout. Any other problem with an address is left to whoever binds it.
void waitForAddresses(const std::vector<std::string> &Addresses,
                      std::chrono::milliseconds Timeout);

} // namespace yardwheel

#endif
