//===- core/build_info.h - The build that runs ------------------*- C++ -*-===//
///
/// \file
/// Names the sources that a program was built from, for its first log line and
/// its version.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CORE_BUILD_INFO_H
#define YARDWHEEL_CORE_BUILD_INFO_H

namespace yardwheel {

/// Returns the commit of the sources with its time, followed by "modified" if
/// they differed from it; "unknown" if they were built outside a repository.
const char *buildCommit();

} // namespace yardwheel

#endif
