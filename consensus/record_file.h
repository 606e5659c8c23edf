//===- consensus/record_file.h - Checksummed records in a file --*- C++ -*-===//
///
/// \file
/// An append-only file of records. Each record has a header with its length, a
/// checksum of the length and a checksum of the content. The checksums
/// distinguish an incomplete record at the end of the file, which a crash
/// leaves and which is truncated, from corruption, which must be reported.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CONSENSUS_RECORD_FILE_H
#define YARDWHEEL_CONSENSUS_RECORD_FILE_H

#include "core/error.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace yardwheel {

/// Writes to a file descriptor like write(2). Tests replace it to simulate a
/// full disk.
using WriteFunction =
    std::function<ssize_t(int File, const void *Data, std::size_t Size)>;

/// Receives the content of a record, which is valid during the call only.
using RecordVisitor = std::function<void(std::string_view Content)>;

/// A file holds something else than what was synced to it.
class CorruptFile : public Error {
public:
  using Error::Error;
};

class RecordFile {
public:
  RecordFile(std::string Path, WriteFunction Write);
  ~RecordFile();
  RecordFile(const RecordFile &) = delete;
  RecordFile &operator=(const RecordFile &) = delete;

  /// Passes all records to \p Visit, one at a time, and truncates an incomplete
  /// record at the end.
  /// \throws CorruptFile if a record is corrupt.
  void readAll(const RecordVisitor &Visit);

  /// Appends all of \p Contents, one record each, or none of them.
  /// \throws Error if they cannot be written; the file is then unchanged.
  void append(const std::vector<std::string> &Contents);
  /// Makes all appended records durable.
  /// \throws Error if fsync fails. Records appended since the last successful
  /// sync may then be lost, and every later call throws too.
  void sync();

  /// Returns the number of bytes that readAll() truncated.
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

/// Reads all records of a file that nobody writes, and leaves it as it is.
/// \throws Error if it cannot be read, CorruptFile if a record is corrupt.
std::vector<std::string> readRecordFile(const std::string &Path);

/// Writes and syncs a file that is to replace the one at \p Path.
/// \returns its path.
/// \throws Error if it cannot be written or synced.
std::string writeRecordFile(const std::string &Path,
                            const std::vector<std::string> &Records,
                            const WriteFunction &Write);
/// Atomically replaces the file at \p Path by one that writeRecordFile() has
/// written. \throws Error if that cannot be made durable; either file may then
/// be at \p Path.
void installRecordFile(const std::string &New, const std::string &Path);

/// Atomically replaces the file at \p Path by one that holds \p Records, and
/// syncs it.
/// \throws Error if the file cannot be written or synced.
void replaceRecordFile(const std::string &Path,
                       const std::vector<std::string> &Records,
                       const WriteFunction &Write);

/// Calls write(2).
ssize_t writeToDisk(int File, const void *Data, std::size_t Size);

} // namespace yardwheel

#endif
