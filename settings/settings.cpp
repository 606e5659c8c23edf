#include "settings/settings.h"

namespace yardwheel {

const char *roleName(NodeRole Role) {
  switch (Role) {
  case NodeRole::Entry:
    return "entry";
  case NodeRole::Agent:
    return "agent";
  case NodeRole::Control:
    return "control";
  }
  return "unknown";
}

} // namespace yardwheel
