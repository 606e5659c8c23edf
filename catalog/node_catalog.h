//===- catalog/node_catalog.h - Configuration held by a node ----*- C++ -*-===//
///
/// \file
/// The copy of the configuration that an entry or an agent uses. Its revision
/// only increases: an update with an older revision is ignored.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CATALOG_NODE_CATALOG_H
#define YARDWHEEL_CATALOG_NODE_CATALOG_H

#include "protocol/peer.pb.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace yardwheel {

/// An immutable state of the configuration, shared with the reading threads by
/// reference count.
struct CatalogView {
  std::uint64_t Revision = 0;
  std::map<std::string, peer::Workspace> Workspaces;
  std::map<std::uint32_t, peer::HolderGroup> Groups;
  /// Version 0 until the first table is received.
  peer::RouteTable Routes;
  /// Data centres in which nothing new may be placed.
  std::set<std::string> Evacuated;

  const peer::Workspace *findWorkspace(const std::string &Name) const;
};

/// Holds the current view. view() may be called from any thread, merge() from
/// one thread only.
class NodeCatalog {
public:
  /// Merges an update from control. An update that is based on a newer revision
  /// than the one held is ignored, since changes between the two are missing.
  /// \returns whether the revision has increased.
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
