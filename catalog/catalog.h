//===- catalog/catalog.h - The replicated configuration ---------*- C++ -*-===//
///
/// \file
/// The state machine of the consensus log: templates, workspaces, experiments,
/// ledger groups, the route table and evacuations of data centres. It applies
/// committed changes in order and is deterministic, so that all replicas hold
/// the same state.
///
/// A revision is the log index of a change. Each object holds the revision that
/// changed it last, so an update since any revision is computed by filtering,
/// without a change history.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CATALOG_CATALOG_H
#define YARDWHEEL_CATALOG_CATALOG_H

#include "protocol/peer.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace yardwheel {

/// Number of changes whose results are remembered, for changes sent again.
constexpr std::size_t MaxRememberedChanges = 4096;

/// The format of log entries whose newest kind of change is SetEvacuation.
/// Replicas of builds before it ignore such changes.
constexpr std::uint32_t EvacuationLogFormat = 1;
/// The newest format that this build can apply.
constexpr std::uint32_t CatalogLogFormat = EvacuationLogFormat;

class Catalog {
public:
  /// Applies a committed change. A change whose id was applied before is not
  /// applied again; its first result is returned.
  peer::ChangeResult apply(std::uint64_t Revision, const peer::Change &Change);

  /// Advances to \p Revision for a log entry that holds no change.
  void advance(std::uint64_t Revision);

  std::uint64_t revision() const { return this->Revision; }

  /// \returns all objects changed after revision \p Since; all objects if it
  /// is 0.
  peer::CatalogUpdate updateSince(std::uint64_t Since) const;
  /// \returns the same without the document of the route table, which nodes
  /// have no use for.
  peer::CatalogUpdate nodeUpdateSince(std::uint64_t Since) const;

  const peer::Template *findTemplate(const std::string &Name) const;
  const peer::Workspace *findWorkspace(const std::string &Name) const;
  /// \returns the route table in force; its version is 0 before the first one.
  const peer::RouteTable &routes() const { return this->Routes; }
  const std::map<std::uint32_t, peer::HolderGroup> &groups() const {
    return this->Groups;
  }
  /// \returns the evacuations by data centre, finished ones included.
  const std::map<std::string, peer::Evacuation> &evacuations() const {
    return this->Evacuations;
  }
  std::size_t activeEvacuations() const;
  /// \returns the log format that a replica must be able to apply to hold this
  /// state in full.
  std::uint32_t requiredLogFormat() const;
  /// \returns the result of the change with this id, if it is remembered.
  std::optional<peer::ChangeResult> resultOf(const std::string &Id) const;

  std::string saveSnapshot() const;
  /// \throws Error if \p State is not a snapshot of this class.
  void loadSnapshot(const std::string &State);

private:
  /// \param Table The route table for the update.
  peer::CatalogUpdate collect(std::uint64_t Since,
                              const peer::RouteTable &Table) const;
  void setRoutes(const peer::RouteTable &Table);
  peer::ChangeResult dispatch(const peer::Change &Change);
  peer::ChangeResult applyTemplate(const peer::SetTemplate &Body);
  peer::ChangeResult createWorkspace(const peer::CreateWorkspace &Body);
  peer::ChangeResult setWorkspace(const peer::SetWorkspace &Body);
  peer::ChangeResult setExperiment(const peer::SetExperiment &Body);
  /// Changes a workspace if it is still at \p BaseVersion.
  template <typename Edit>
  peer::ChangeResult editWorkspace(const std::string &Name,
                                   std::uint64_t BaseVersion, Edit Change);
  peer::ChangeResult setGroup(const peer::SetGroup &Body);
  peer::ChangeResult replaceRoutes(const peer::ReplaceRoutes &Body);
  /// Starting what has started, or finishing what has not, changes nothing.
  peer::ChangeResult setEvacuation(const peer::SetEvacuation &Body);
  /// Increments the version of \p Target and sets its revision.
  peer::ChangeResult bumpVersion(peer::Workspace &Target);
  peer::ChangeResult done(std::uint64_t Version) const;
  void remember(const peer::Change &Change, const peer::ChangeResult &Result);

  struct Remembered {
    peer::ChangeResult Result;
    std::uint64_t Digest = 0;
  };

  std::uint64_t Revision = 0;
  std::map<std::string, peer::Template> Templates;
  std::map<std::string, peer::Workspace> Workspaces;
  std::map<std::uint32_t, peer::HolderGroup> Groups;
  peer::RouteTable Routes;
  /// Routes without the document.
  peer::RouteTable NodeRoutes;
  std::map<std::string, peer::Evacuation> Evacuations;
  std::map<std::string, Remembered> Results;
  std::deque<std::string> ResultOrder;
};

} // namespace yardwheel

#endif
