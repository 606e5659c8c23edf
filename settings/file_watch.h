//===- settings/file_watch.h - Sees that a file has changed -----*- C++ -*-===//
#ifndef YARDWHEEL_SETTINGS_FILE_WATCH_H
#define YARDWHEEL_SETTINGS_FILE_WATCH_H

#include <string>

namespace yardwheel {

/// Tells when a file's content has changed since it was last asked. It reads
/// the file: not every file system tells of changes, and times of day jump.
class FileWatch {
public:
  /// Takes the present content as known.
  explicit FileWatch(std::string Path);

  /// \returns whether the content is another than at the last call. A file
  /// that cannot be read, as while it is replaced, has not changed.
  bool hasChanged();

private:
  std::string Path;
  std::string Known;
};

} // namespace yardwheel

#endif
