#include "consensus/record_file.h"

#include "core/error.h"

#include <algorithm>
#include <boost/crc.hpp>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <unistd.h>
#include <utility>

namespace yardwheel {

namespace {

constexpr std::uint64_t HeaderBytes = 12;
constexpr std::uint64_t LengthBytes = 4;
/// The last byte of every record. A crash can leave a file that has grown to
/// its new size but holds zeros instead of the data. This non-zero byte
/// distinguishes such a record from a complete record that was corrupted.
constexpr char EndMark = static_cast<char>(0xa5);
constexpr std::uint32_t MaxRecordBytes = 268435456;
constexpr mode_t FileMode = 0600;

std::uint32_t checksum(const char *Data, std::size_t Size) {
  boost::crc_32_type Crc;
  Crc.process_bytes(Data, Size);
  return Crc.checksum();
}

void putNumber(std::string &Target, std::uint32_t Value) {
  constexpr int Bytes = 4;
  constexpr int ByteBits = 8;
  for (int I = 0; I < Bytes; ++I)
    Target.push_back(static_cast<char>((Value >> (ByteBits * I)) & 0xffU));
}

std::uint32_t getNumber(const char *Data) {
  std::uint32_t Value = 0;
  constexpr int Bytes = 4;
  constexpr int ByteBits = 8;
  for (int I = 0; I < Bytes; ++I)
    Value |= static_cast<std::uint32_t>(static_cast<unsigned char>(Data[I]))
             << (ByteBits * I);
  return Value;
}

std::string encode(const std::string &Content) {
  std::string Record;
  putNumber(Record, static_cast<std::uint32_t>(Content.size()));
  putNumber(Record, checksum(Record.data(), LengthBytes));
  putNumber(Record, checksum(Content.data(), Content.size()));
  return Record + Content + EndMark;
}

[[noreturn]] void throwSystemError(const std::string &Path,
                                   const std::string &What) {
  throw Error("storage", Path, fmt::format("{}: {}", What, strerror(errno)));
}

[[noreturn]] void throwCorrupt(const std::string &Path, std::uint64_t Offset) {
  throw CorruptFile("storage", Path,
                    fmt::format("record at offset {} is corrupt; replace the "
                                "replica under a new name",
                                Offset));
}

void writeAll(int File, const std::string &Data, const WriteFunction &Write,
              const std::string &Path) {
  std::size_t Done = 0;
  while (Done < Data.size()) {
    ssize_t Count = Write(File, Data.data() + Done, Data.size() - Done);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      throwSystemError(Path, "cannot write");
    Done += static_cast<std::size_t>(Count);
  }
}

void syncFolderOf(const std::string &Path) {
  std::string Folder = std::filesystem::path(Path).parent_path().string();
  int Descriptor = ::open(Folder.c_str(), O_RDONLY | O_DIRECTORY);
  if (Descriptor < 0)
    throwSystemError(Folder, "cannot open the folder");
  int Result = ::fsync(Descriptor);
  ::close(Descriptor);
  if (Result != 0)
    throwSystemError(Folder, "cannot sync the folder");
}

/// The content of a file, of which a part is in memory at a time.
class FileWindow {
public:
  FileWindow(int File, std::string Path) : File(File), Path(std::move(Path)) {
    off_t End = ::lseek(File, 0, SEEK_END);
    if (End < 0)
      throwSystemError(this->Path, "cannot seek");
    this->Length = static_cast<std::uint64_t>(End);
  }

  std::uint64_t size() const { return this->Length; }
  /// Returns bytes of the file, which are valid until the next call.
  const char *at(std::uint64_t Offset, std::size_t Count) {
    bool IsHeld = Offset >= this->Start &&
                  Offset + Count <= this->Start + this->Held.size();
    if (!IsHeld)
      this->load(Offset, Count);
    return this->Held.data() + (Offset - this->Start);
  }
  /// Returns whether the file holds nothing but zeros from an offset on.
  bool isZeroFrom(std::uint64_t Offset) {
    while (Offset < this->Length) {
      std::size_t Count =
          std::min<std::uint64_t>(ZeroCheckBytes, this->Length - Offset);
      const char *Bytes = this->at(Offset, Count);
      if (!std::all_of(Bytes, Bytes + Count, [](char C) { return C == '\0'; }))
        return false;
      Offset += Count;
    }
    return true;
  }

private:
  /// What is read at once. On a slow disk, each call may take as long as the
  /// data.
  static constexpr std::size_t ChunkBytes = 4194304;
  static constexpr std::size_t ZeroCheckBytes = 4096;

  void load(std::uint64_t Offset, std::size_t Count) {
    this->Start = Offset;
    this->Held.resize(std::min<std::uint64_t>(std::max(Count, ChunkBytes),
                                              this->Length - Offset));
    std::size_t Done = 0;
    while (Done < this->Held.size()) {
      ssize_t Read =
          ::pread(this->File, this->Held.data() + Done,
                  this->Held.size() - Done, static_cast<off_t>(Offset + Done));
      if (Read < 0 && errno == EINTR)
        continue;
      if (Read <= 0)
        throwSystemError(this->Path, "cannot read");
      Done += static_cast<std::size_t>(Read);
    }
  }

  int File;
  std::string Path;
  std::uint64_t Length = 0;
  std::uint64_t Start = 0;
  std::string Held;
};

/// Passes all whole records to \p Visit.
/// \returns their size; what follows is an incomplete one.
std::uint64_t parseRecords(FileWindow &File, const std::string &Path,
                           const RecordVisitor &Visit) {
  std::uint64_t Offset = 0;
  while (Offset < File.size()) {
    std::uint64_t Left = File.size() - Offset;
    // A crash can leave a short record, or zeros for data that was not written.
    if (Left < HeaderBytes || File.isZeroFrom(Offset))
      break;
    const char *Header = File.at(Offset, HeaderBytes);
    std::uint32_t Length = getNumber(Header);
    std::uint32_t ContentSum = getNumber(Header + 2 * LengthBytes);
    bool HeaderValid =
        getNumber(Header + LengthBytes) == checksum(Header, LengthBytes);
    if (!HeaderValid && File.isZeroFrom(Offset + HeaderBytes))
      break;
    if (!HeaderValid || Length > MaxRecordBytes)
      throwCorrupt(Path, Offset);
    std::uint64_t RecordSize = HeaderBytes + Length + 1;
    if (Left < RecordSize || File.isZeroFrom(Offset + RecordSize - 1))
      break;
    const char *Content = File.at(Offset + HeaderBytes, Length + 1);
    bool ContentValid =
        ContentSum == checksum(Content, Length) && Content[Length] == EndMark;
    if (!ContentValid)
      throwCorrupt(Path, Offset);
    Visit({Content, Length});
    Offset += RecordSize;
  }
  return Offset;
}

} // namespace

ssize_t writeToDisk(int File, const void *Data, std::size_t Size) {
  return ::write(File, Data, Size);
}

RecordFile::RecordFile(std::string Path, WriteFunction Write)
    : Path(std::move(Path)), Write(std::move(Write)) {
  this->File =
      ::open(this->Path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FileMode);
  if (this->File < 0)
    throwSystemError(this->Path, "cannot open");
  syncFolderOf(this->Path);
}

RecordFile::~RecordFile() { ::close(this->File); }

void RecordFile::readAll(const RecordVisitor &Visit) {
  FileWindow Content(this->File, this->Path);
  this->Size = parseRecords(Content, this->Path, Visit);
  this->TornBytes = Content.size() - this->Size;
  if (::lseek(this->File, static_cast<off_t>(this->Size), SEEK_SET) < 0)
    throwSystemError(this->Path, "cannot seek");
  if (this->TornBytes == 0)
    return;
  // Synced, or a crash could keep the next record and undo the truncation, so
  // that the rest of the incomplete record would follow a whole one.
  if (::ftruncate(this->File, static_cast<off_t>(this->Size)) != 0 ||
      ::fsync(this->File) != 0)
    throwSystemError(this->Path,
                     "cannot truncate the incomplete record at the end");
}

std::vector<std::string> readRecordFile(const std::string &Path) {
  int File = ::open(Path.c_str(), O_RDONLY | O_CLOEXEC);
  if (File < 0)
    throwSystemError(Path, "cannot open");
  try {
    std::vector<std::string> Records;
    FileWindow Content(File, Path);
    parseRecords(Content, Path, [&Records](std::string_view Found) {
      Records.emplace_back(Found);
    });
    ::close(File);
    return Records;
  } catch (const Error &) {
    ::close(File);
    throw;
  }
}

void RecordFile::requireUsable() const {
  if (this->Unusable)
    throw Error("storage", this->Path,
                "an earlier failure left its end unknown; restart");
}

void RecordFile::append(const std::vector<std::string> &Contents) {
  this->requireUsable();
  std::string Record;
  for (const std::string &Content : Contents)
    Record += encode(Content);
  try {
    writeAll(this->File, Record, this->Write, this->Path);
  } catch (const Error &) {
    // Remove a partial write, so that the next record follows a whole one.
    bool Cut =
        ::ftruncate(this->File, static_cast<off_t>(this->Size)) == 0 &&
        ::fsync(this->File) == 0 &&
        ::lseek(this->File, static_cast<off_t>(this->Size), SEEK_SET) >= 0;
    this->Unusable = !Cut;
    throw;
  }
  this->Size += Record.size();
}

void RecordFile::sync() {
  this->requireUsable();
  if (::fsync(this->File) == 0)
    return;
  this->Unusable = true;
  throwSystemError(this->Path, "cannot sync");
}

std::string writeRecordFile(const std::string &Path,
                            const std::vector<std::string> &Records,
                            const WriteFunction &Write) {
  std::string Temporary = Path + ".new";
  int File = ::open(Temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                    FileMode);
  if (File < 0)
    throwSystemError(Temporary, "cannot open");
  try {
    for (const std::string &Content : Records)
      writeAll(File, encode(Content), Write, Temporary);
    if (::fsync(File) != 0)
      throwSystemError(Temporary, "cannot sync");
  } catch (const Error &) {
    ::close(File);
    ::unlink(Temporary.c_str());
    throw;
  }
  ::close(File);
  return Temporary;
}

void installRecordFile(const std::string &New, const std::string &Path) {
  if (::rename(New.c_str(), Path.c_str()) != 0)
    throwSystemError(Path, "cannot replace");
  syncFolderOf(Path);
}

void replaceRecordFile(const std::string &Path,
                       const std::vector<std::string> &Records,
                       const WriteFunction &Write) {
  installRecordFile(writeRecordFile(Path, Records, Write), Path);
}

} // namespace yardwheel
