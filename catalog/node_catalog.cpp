#include "catalog/node_catalog.h"

namespace yardwheel {

const peer::Workspace *
CatalogView::findWorkspace(const std::string &Name) const {
  auto Found = this->Workspaces.find(Name);
  return Found == this->Workspaces.end() ? nullptr : &Found->second;
}

bool NodeCatalog::merge(const peer::CatalogUpdate &Update) {
  std::shared_ptr<const CatalogView> Old = this->view();
  bool HasGap = Update.since() > Old->Revision;
  if (HasGap || Update.revision() <= Old->Revision)
    return false;
  auto New = std::make_shared<CatalogView>(*Old);
  New->Revision = Update.revision();
  for (const peer::Workspace &Object : Update.workspaces())
    New->Workspaces[Object.name()] = Object;
  for (const peer::HolderGroup &Object : Update.groups())
    New->Groups[Object.group()] = Object;
  if (Update.has_routes())
    New->Routes = Update.routes();
  for (const peer::Evacuation &Object : Update.evacuations()) {
    if (Object.active())
      New->Evacuated.insert(Object.data_centre());
    else
      New->Evacuated.erase(Object.data_centre());
  }
  this->Current.store(std::move(New), std::memory_order_release);
  return true;
}

} // namespace yardwheel
