#include "core/build_info.h"

namespace yardwheel {

const char *buildCommit() {
  return
#include "build_commit.inc"
      ;
}

} // namespace yardwheel
