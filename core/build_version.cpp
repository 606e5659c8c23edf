#include "core/build_version.h"

namespace yardwheel {

const char *buildVersion() {
  return
#include "build_version.inc"
      ;
}

} // namespace yardwheel
