//===- catalog/node_catalog.h - Configuration held by a node ----*- C++ -*-===//
///
/// \file
/// The copy of the configuration that an entry or an agent acts on. It only
/// moves forward: an update of an older revision changes nothing.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CATALOG_NODE_CATALOG_H
#define YARDWHEEL_CATALOG_NODE_CATALOG_H

#include "protocol/peer.pb.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace yardwheel {

/// An immutable state of the configuration, shared by reference count with
/// the threads that read it.
struct CatalogView {
  std::uint64_t Revision = 0;
  std::map<std::string, peer::Workspace> Workspaces;
  std::map<std::uint32_t, peer::HolderGroup> Groups;
  /// Version 0 until the first table is heard of.
  peer::RouteTable Routes;

  const peer::Workspace *findWorkspace(const std::string &Name) const;
};

/// Writer of views. Readers take view() from any thread; merge() belongs to
/// one thread.
class NodeCatalog {
public:
  /// Merges what control sent. \returns whether the revision has grown.
  bool merge(const peer::CatalogUpdate &Update);

  std::shared_ptr<const CatalogView> view() const {
    return this->Current.load(std::memory_order_acquire);
  }
  std::uint64_t revision() const { return this->view()->Revision; }

private:
  std::atomic<std::shared_ptr<const CatalogView>> Current{
      std::make_shared<const CatalogView>()};
};

} // namespace yardwheel

#endif
