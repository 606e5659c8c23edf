#include "settings/file_watch.h"

#include <fstream>
#include <sstream>

namespace yardwheel {

FileWatch::FileWatch(std::string Path) : Path(std::move(Path)) {
  this->hasChanged();
}

bool FileWatch::hasChanged() {
  std::ifstream File(this->Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  if (!File || Text.str().empty() || Text.str() == this->LastContent)
    return false;
  this->LastContent = Text.str();
  return true;
}

} // namespace yardwheel
