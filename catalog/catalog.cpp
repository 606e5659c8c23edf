#include "catalog/catalog.h"

#include "catalog/parameters.h"
#include "catalog/route_table.h"
#include "core/error.h"
#include "core/hash.h"
#include "core/job_id.h"

#include <algorithm>
#include <fmt/format.h>

namespace yardwheel {

namespace {

constexpr std::uint32_t ArmCount = 2;

peer::ChangeResult refuse(peer::ChangeVerdict Verdict, std::uint64_t Version,
                          std::string Reason) {
  peer::ChangeResult Result;
  Result.set_verdict(Verdict);
  Result.set_version(Version);
  Result.set_reason(std::move(Reason));
  return Result;
}

peer::ChangeResult invalid(std::string Reason) {
  return refuse(peer::CHANGE_INVALID, 0, std::move(Reason));
}

peer::ChangeResult conflict(std::uint64_t Version, std::uint64_t BaseVersion) {
  return refuse(peer::CHANGE_CONFLICT, Version,
                fmt::format("based on version {}, but the current version is "
                            "{}; read it and try again",
                            BaseVersion, Version));
}

/// \returns whether a change based on \p Version applies to \p Target. Version
/// 0 stands for whichever version is current.
bool isBasedOn(const peer::Workspace &Target, std::uint64_t Version) {
  return Version == 0 || Version == Target.version();
}

std::uint64_t digestOf(const peer::Change &Change) {
  return stableHash(Change.SerializeAsString());
}

/// \returns what is wrong with the arms of an experiment, or an empty string.
std::string checkArms(const peer::SetExperiment &Body) {
  if (Body.shares_size() == 0)
    return {};
  if (Body.shares_size() != ArmCount)
    return "experiment: expected two policies";
  std::uint64_t Total = 0;
  for (const peer::PolicyShare &Arm : Body.shares()) {
    peer::Parameters Scratch;
    std::string Expected = setParameter(Scratch, "policy", Arm.policy());
    if (!Expected.empty())
      return Expected;
    if (Arm.share() == 0)
      return "experiment: expected a share of at least 1 percent";
    Total += Arm.share();
  }
  constexpr std::uint64_t TotalPercent = 100;
  return Total == TotalPercent
             ? ""
             : "experiment: expected shares that add up to 100";
}

} // namespace

peer::ChangeResult Catalog::apply(std::uint64_t NewRevision,
                                  const peer::Change &Change) {
  this->Revision = NewRevision;
  auto Known = this->Results.find(Change.id());
  if (!Change.id().empty() && Known != this->Results.end()) {
    if (Known->second.Digest == digestOf(Change))
      return Known->second.Result;
    return invalid("change id: was used before for another change");
  }
  peer::ChangeResult Result = this->dispatch(Change);
  Result.set_revision(NewRevision);
  this->remember(Change, Result);
  return Result;
}

void Catalog::advance(std::uint64_t NewRevision) {
  this->Revision = NewRevision;
}

peer::ChangeResult Catalog::dispatch(const peer::Change &Change) {
  switch (Change.body_case()) {
  case peer::Change::kSetTemplate:
    return this->applyTemplate(Change.set_template());
  case peer::Change::kCreateWorkspace:
    return this->createWorkspace(Change.create_workspace());
  case peer::Change::kSetWorkspace:
    return this->setWorkspace(Change.set_workspace());
  case peer::Change::kSetExperiment:
    return this->setExperiment(Change.set_experiment());
  case peer::Change::kSetGroup:
    return this->setGroup(Change.set_group());
  case peer::Change::kReplaceRoutes:
    return this->replaceRoutes(Change.replace_routes());
  case peer::Change::kSetEvacuation:
    return this->setEvacuation(Change.set_evacuation());
  case peer::Change::BODY_NOT_SET:
    break;
  }
  return invalid("change: empty");
}

peer::ChangeResult Catalog::applyTemplate(const peer::SetTemplate &Body) {
  if (!isPlainKey(Body.name()))
    return invalid("template name: expected 1 to 128 letters, digits or -_.:");
  peer::Template &Target = this->Templates[Body.name()];
  Target.set_name(Body.name());
  Target.set_revision(this->Revision);
  *Target.mutable_parameters() = defaultParameters();
  overlayParameters(*Target.mutable_parameters(), Body.parameters());
  return this->done(this->Revision);
}

peer::ChangeResult Catalog::createWorkspace(const peer::CreateWorkspace &Body) {
  if (!isPlainKey(Body.name()))
    return invalid("workspace name: expected 1 to 128 letters, digits or -_.:");
  auto Source = this->Templates.find(Body.template_name());
  if (Source == this->Templates.end())
    return invalid(
        fmt::format("template '{}': not found", Body.template_name()));
  auto Existing = this->Workspaces.find(Body.name());
  if (Existing != this->Workspaces.end())
    return refuse(peer::CHANGE_CONFLICT, Existing->second.version(),
                  fmt::format("workspace '{}' exists already", Body.name()));
  peer::Workspace &Target = this->Workspaces[Body.name()];
  Target.set_name(Body.name());
  Target.set_template_name(Body.template_name());
  *Target.mutable_parameters() = Source->second.parameters();
  overlayParameters(*Target.mutable_parameters(), Body.parameters());
  return this->bumpVersion(Target);
}

template <typename Edit>
peer::ChangeResult Catalog::editWorkspace(const std::string &Name,
                                          std::uint64_t BaseVersion,
                                          Edit Change) {
  auto Found = this->Workspaces.find(Name);
  if (Found == this->Workspaces.end())
    return invalid(fmt::format("workspace '{}': not found", Name));
  peer::Workspace &Target = Found->second;
  if (!isBasedOn(Target, BaseVersion))
    return conflict(Target.version(), BaseVersion);
  Change(Target);
  return this->bumpVersion(Target);
}

peer::ChangeResult Catalog::setWorkspace(const peer::SetWorkspace &Body) {
  return this->editWorkspace(
      Body.name(), Body.base_version(), [&](peer::Workspace &Target) {
        overlayParameters(*Target.mutable_parameters(), Body.parameters());
      });
}

peer::ChangeResult Catalog::setExperiment(const peer::SetExperiment &Body) {
  std::string Problem = checkArms(Body);
  if (!Problem.empty())
    return invalid(Problem);
  return this->editWorkspace(Body.name(), Body.base_version(),
                             [&](peer::Workspace &Target) {
                               *Target.mutable_experiment() = Body.shares();
                             });
}

peer::ChangeResult Catalog::setGroup(const peer::SetGroup &Body) {
  const peer::HolderGroup &New = Body.group();
  auto Found = this->Groups.find(New.group());
  std::uint64_t Epoch = 0;
  bool Sealed = false;
  if (Found != this->Groups.end()) {
    Epoch = Found->second.epoch();
    Sealed = Found->second.sealed();
  }
  if (Epoch != Body.base_epoch() || Sealed != Body.base_sealed())
    return conflict(Epoch, Body.base_epoch());
  for (const auto &[Number, Other] : this->Groups)
    if (Other.group_count() != New.group_count())
      return invalid("group count: cannot be changed");
  if (New.group() >= New.group_count())
    return invalid("group: expected a number below the group count");
  peer::HolderGroup &Target = this->Groups[New.group()];
  Target = New;
  Target.set_revision(this->Revision);
  return this->done(New.epoch());
}

peer::ChangeResult Catalog::replaceRoutes(const peer::ReplaceRoutes &Body) {
  std::string Problem = checkRouteTable(Body.table());
  if (!Problem.empty())
    return invalid(Problem);
  peer::ChangeResult Result = checkRouteReplacement(this->Routes, Body.table());
  bool Newer = Body.table().version() > this->Routes.version();
  if (Result.verdict() == peer::CHANGE_DONE && Newer) {
    peer::RouteTable Table = Body.table();
    Table.set_revision(this->Revision);
    this->setRoutes(Table);
  }
  return Result;
}

void Catalog::setRoutes(const peer::RouteTable &Table) {
  this->Routes = Table;
  this->NodeRoutes = Table;
  // Assigned, as a cleared text keeps its memory.
  *this->NodeRoutes.mutable_document() = std::string();
  this->NodeRoutes.clear_document();
}

peer::ChangeResult Catalog::setEvacuation(const peer::SetEvacuation &Body) {
  if (!isPlainKey(Body.data_centre()))
    return invalid("data centre: expected 1 to 128 letters, digits or -_.:");
  auto Found = this->Evacuations.find(Body.data_centre());
  bool IsActive = Found != this->Evacuations.end() && Found->second.active();
  if (IsActive == Body.active())
    return this->done(IsActive ? Found->second.revision() : 0);
  peer::Evacuation &Target = this->Evacuations[Body.data_centre()];
  Target.set_data_centre(Body.data_centre());
  Target.set_active(Body.active());
  Target.set_revision(this->Revision);
  return this->done(this->Revision);
}

peer::ChangeResult Catalog::bumpVersion(peer::Workspace &Target) {
  Target.set_version(Target.version() + 1);
  Target.set_revision(this->Revision);
  return this->done(Target.version());
}

peer::ChangeResult Catalog::done(std::uint64_t Version) const {
  peer::ChangeResult Result;
  Result.set_verdict(peer::CHANGE_DONE);
  Result.set_version(Version);
  return Result;
}

void Catalog::remember(const peer::Change &Change,
                       const peer::ChangeResult &Result) {
  if (Change.id().empty())
    return;
  this->Results[Change.id()] = {Result, digestOf(Change)};
  this->ResultOrder.push_back(Change.id());
  if (this->ResultOrder.size() > MaxRememberedChanges) {
    this->Results.erase(this->ResultOrder.front());
    this->ResultOrder.pop_front();
  }
}

std::size_t Catalog::activeEvacuations() const {
  return static_cast<std::size_t>(
      std::count_if(this->Evacuations.begin(), this->Evacuations.end(),
                    [](const auto &Item) { return Item.second.active(); }));
}

std::uint32_t Catalog::requiredLogFormat() const {
  // A replica that lacks a finished evacuation takes it for finished.
  return this->activeEvacuations() > 0 ? EvacuationLogFormat : 0;
}

peer::CatalogUpdate Catalog::updateSince(std::uint64_t Since) const {
  return this->collect(Since, this->Routes);
}

peer::CatalogUpdate Catalog::nodeUpdateSince(std::uint64_t Since) const {
  return this->collect(Since, this->NodeRoutes);
}

peer::CatalogUpdate Catalog::collect(std::uint64_t Since,
                                     const peer::RouteTable &Table) const {
  peer::CatalogUpdate Update;
  Update.set_revision(this->Revision);
  Update.set_since(Since);
  for (const auto &[Name, Object] : this->Templates)
    if (Object.revision() > Since)
      *Update.add_templates() = Object;
  for (const auto &[Name, Object] : this->Workspaces)
    if (Object.revision() > Since)
      *Update.add_workspaces() = Object;
  for (const auto &[Number, Object] : this->Groups)
    if (Object.revision() > Since)
      *Update.add_groups() = Object;
  if (Table.revision() > Since)
    *Update.mutable_routes() = Table;
  for (const auto &[DataCentre, Object] : this->Evacuations)
    if (Object.revision() > Since)
      *Update.add_evacuations() = Object;
  return Update;
}

const peer::Template *Catalog::findTemplate(const std::string &Name) const {
  auto Found = this->Templates.find(Name);
  return Found == this->Templates.end() ? nullptr : &Found->second;
}

const peer::Workspace *Catalog::findWorkspace(const std::string &Name) const {
  auto Found = this->Workspaces.find(Name);
  return Found == this->Workspaces.end() ? nullptr : &Found->second;
}

std::optional<peer::ChangeResult>
Catalog::resultOf(const std::string &Id) const {
  auto Found = this->Results.find(Id);
  if (Found == this->Results.end())
    return std::nullopt;
  return Found->second.Result;
}

std::string Catalog::saveSnapshot() const {
  peer::CatalogSnapshot State;
  *State.mutable_objects() = this->updateSince(0);
  for (const std::string &Id : this->ResultOrder) {
    const Remembered &Known = this->Results.at(Id);
    peer::RememberedChange *Saved = State.add_remembered();
    Saved->set_id(Id);
    *Saved->mutable_result() = Known.Result;
    Saved->set_digest(Known.Digest);
  }
  return State.SerializeAsString();
}

void Catalog::loadSnapshot(const std::string &State) {
  peer::CatalogSnapshot Loaded;
  if (!Loaded.ParseFromString(State))
    throw Error("catalog", "snapshot", "expected a serialized catalog");
  *this = Catalog();
  this->Revision = Loaded.objects().revision();
  for (const peer::Template &Object : Loaded.objects().templates())
    this->Templates[Object.name()] = Object;
  for (const peer::Workspace &Object : Loaded.objects().workspaces())
    this->Workspaces[Object.name()] = Object;
  for (const peer::HolderGroup &Object : Loaded.objects().groups())
    this->Groups[Object.group()] = Object;
  this->setRoutes(Loaded.objects().routes());
  for (const peer::Evacuation &Object : Loaded.objects().evacuations())
    this->Evacuations[Object.data_centre()] = Object;
  for (const peer::RememberedChange &Saved : Loaded.remembered()) {
    this->Results[Saved.id()] = {Saved.result(), Saved.digest()};
    this->ResultOrder.push_back(Saved.id());
  }
}

} // namespace yardwheel
