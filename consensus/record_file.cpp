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
  throw Error("storage", Path,
              fmt::format("record at offset {} is corrupt; replace the replica "
                          "under a new name",
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

bool isAllZero(const std::string &Data, std::uint64_t From) {
  return std::all_of(Data.begin() + static_cast<std::ptrdiff_t>(From),
                     Data.end(), [](char C) { return C == '\0'; });
}

/// Reads a file from its beginning in as few calls as possible: on a slow disk,
/// each call may take as long as the data.
std::string readWhole(int File, const std::string &Path) {
  off_t End = ::lseek(File, 0, SEEK_END);
  if (End < 0 || ::lseek(File, 0, SEEK_SET) < 0)
    throwSystemError(Path, "cannot seek");
  std::string Data(static_cast<std::size_t>(End), '\0');
  std::size_t Done = 0;
  while (Done < Data.size()) {
    ssize_t Count = ::read(File, Data.data() + Done, Data.size() - Done);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      throwSystemError(Path, "cannot read");
    if (Count == 0)
      break;
    Done += static_cast<std::size_t>(Count);
  }
  Data.resize(Done);
  return Data;
}

struct ParsedRecords {
  std::vector<std::string> Records;
  /// Bytes of the whole records; what follows is an incomplete one.
  std::uint64_t Size = 0;
};

ParsedRecords parseRecords(const std::string &Data, const std::string &Path) {
  ParsedRecords Parsed;
  std::uint64_t &Offset = Parsed.Size;
  while (Offset < Data.size()) {
    std::uint64_t Left = Data.size() - Offset;
    // A crash can leave a short record, or zeros for data that was not written.
    if (Left < HeaderBytes || isAllZero(Data, Offset))
      break;
    const char *Header = Data.data() + Offset;
    std::uint32_t Length = getNumber(Header);
    bool HeaderValid =
        getNumber(Header + LengthBytes) == checksum(Header, LengthBytes);
    bool HeaderIncomplete = isAllZero(Data, Offset + HeaderBytes);
    if (!HeaderValid && HeaderIncomplete)
      break;
    if (!HeaderValid || Length > MaxRecordBytes)
      throwCorrupt(Path, Offset);
    std::uint64_t RecordSize = HeaderBytes + Length + 1;
    if (Left < RecordSize || isAllZero(Data, Offset + RecordSize - 1))
      break;
    const char *Content = Header + HeaderBytes;
    bool ContentValid =
        getNumber(Header + 2 * LengthBytes) == checksum(Content, Length) &&
        Content[Length] == EndMark;
    if (!ContentValid)
      throwCorrupt(Path, Offset);
    Parsed.Records.emplace_back(Content, Length);
    Offset += RecordSize;
  }
  return Parsed;
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

std::vector<std::string> RecordFile::readAll() {
  std::string Data = readWhole(this->File, this->Path);
  ParsedRecords Parsed = parseRecords(Data, this->Path);
  this->TornBytes = Data.size() - Parsed.Size;
  this->Size = Parsed.Size;
  if (::ftruncate(this->File, static_cast<off_t>(Parsed.Size)) != 0)
    throwSystemError(this->Path,
                     "cannot truncate the incomplete record at the end");
  if (::lseek(this->File, static_cast<off_t>(Parsed.Size), SEEK_SET) < 0)
    throwSystemError(this->Path, "cannot seek");
  return std::move(Parsed.Records);
}

std::vector<std::string> readRecordFile(const std::string &Path) {
  int File = ::open(Path.c_str(), O_RDONLY | O_CLOEXEC);
  if (File < 0)
    throwSystemError(Path, "cannot open");
  try {
    std::string Data = readWhole(File, Path);
    ::close(File);
    return parseRecords(Data, Path).Records;
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

void replaceRecordFile(const std::string &Path,
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
  if (::rename(Temporary.c_str(), Path.c_str()) != 0)
    throwSystemError(Path, "cannot replace");
  syncFolderOf(Path);
}

} // namespace yardwheel
