//===- consensus/record_file.h - Checksummed records in a file --*- C++ -*-===//
///
/// \file
/// An append-only file of records. Each has a header with its length, a
/// checksum of the header and one of the content, so that a torn tail, which
/// a crash leaves, is told from damage, which nothing may hide.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CONSENSUS_RECORD_FILE_H
#define YARDWHEEL_CONSENSUS_RECORD_FILE_H

#include <cstdint>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace yardwheel {

/// Writes to a descriptor as write(2) does; tests put a full disk here.
using WriteFunction =
    std::function<ssize_t(int File, const void *Data, std::size_t Size)>;

class RecordFile {
public:
  RecordFile(std::string Path, WriteFunction Write);
  ~RecordFile();
  RecordFile(const RecordFile &) = delete;
  RecordFile &operator=(const RecordFile &) = delete;

  /// Reads all records and cuts a torn tail off, if there is one.
  /// \throws Error with the file and the offset, if a record is damaged.
  std::vector<std::string> readAll();

  /// Appends records together.
  /// \throws Error if they cannot be written; the file is as before.
  void append(const std::vector<std::string> &Contents);
  /// \throws Error if the disk does not take it. No record after the last
  /// successful sync may be trusted then, and every later call throws too.
  void sync();

  /// Bytes that were cut off by readAll().
  std::uint64_t tornBytes() const { return this->TornBytes; }
  const std::string &path() const { return this->Path; }

private:
  void requireUsable() const;

  std::string Path;
  WriteFunction Write;
  int File = -1;
  std::uint64_t Size = 0;
  std::uint64_t TornBytes = 0;
  bool Unusable = false;
};

/// Writes a file of one record that replaces \p Path in one step.
/// \throws Error if it cannot be made to last.
void replaceRecordFile(const std::string &Path,
                       const std::vector<std::string> &Records,
                       const WriteFunction &Write);

/// write(2).
ssize_t writeToDisk(int File, const void *Data, std::size_t Size);

} // namespace yardwheel

#endif
