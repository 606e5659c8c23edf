//===- tests/system/soak_socket.h - Plain sockets ---------------*- C++ -*-===//
///
/// \file
/// What the soak's callers and proxies need of sockets. None is inherited by
/// the processes that the soak starts, else its connections would outlive their
/// ends here.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_SYSTEM_SOAK_SOCKET_H
#define YARDWHEEL_TESTS_SYSTEM_SOAK_SOCKET_H

#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>

namespace yardwheel {

/// \param Text "IP:PORT".
inline sockaddr_in socketAddress(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Text.substr(Colon + 1))));
  inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Address.sin_addr);
  return Address;
}

inline int openSocket() {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  return Socket;
}

inline void sendAtOnce(int Socket) {
  int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
}

} // namespace yardwheel

#endif
