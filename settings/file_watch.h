//===- settings/file_watch.h - Detects changes of a file --------*- C++ -*-===//
#ifndef YARDWHEEL_SETTINGS_FILE_WATCH_H
#define YARDWHEEL_SETTINGS_FILE_WATCH_H

#include <string>

namespace yardwheel {

/// Detects whether the content of a file has changed since the last call. It
/// reads the file, since not every file system reports changes, and
/// modification times are unreliable when the clock is set.
class FileWatch {
public:
  /// Reads the present content as the state to compare with.
  explicit FileWatch(std::string Path);

  /// \returns whether the content differs from that of the last call. A file
  /// that is empty or cannot be read, for example while it is being replaced,
  /// counts as unchanged.
  bool hasChanged();

private:
  std::string Path;
  std::string LastContent;
};

} // namespace yardwheel

#endif
