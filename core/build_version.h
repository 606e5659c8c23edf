//===- core/build_version.h - The build that runs ---------------*- C++ -*-===//
///
/// \file
/// Names the sources that a program was built from, for its first log line and
/// its version.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CORE_BUILD_VERSION_H
#define YARDWHEEL_CORE_BUILD_VERSION_H

namespace yardwheel {

/// Returns the commit of the sources with its time, followed by "modified" if
/// they differed from it, or "no commit" if they were built outside a
/// repository; then a digest of the sources (build_version.cmake).
const char *buildVersion();

} // namespace yardwheel

#endif
