#pragma once

#include "core/Error.hpp"
#include "core/Hash.hpp"
#include "core/StrongId.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace crocusslip::state {

/// Version 2 added the orders to servers at the end.
inline constexpr std::uint32_t kSnapshotVersion = 2;
inline constexpr std::uint32_t kOldestSnapshotVersion = 1;

/// Writes the values of a snapshot in Thrift's compact encoding.
class SnapshotWriter
{
public:
  SnapshotWriter();
  ~SnapshotWriter();
  SnapshotWriter(const SnapshotWriter&) = delete;
  SnapshotWriter& operator=(const SnapshotWriter&) = delete;

  void Number(std::uint64_t aValue);
  void Text(const std::string& aValue);
  void Flag(bool aValue);
  void Digest(const core::Digest& aValue);

  template<typename Tag>
  void Id(const core::StrongId<Tag>& aId)
  {
    Text(aId.Value());
  }
  template<typename Tag, typename Rep>
  void Id(core::StrongNumber<Tag, Rep> aId)
  {
    Number(aId.Value());
  }
  template<typename Clock, typename Duration>
  void Time(std::chrono::time_point<Clock, Duration> aTime)
  {
    Number(static_cast<std::uint64_t>(aTime.time_since_epoch().count()));
  }

  /// The values written so far, framed with version and checksum.
  std::string Finish() const;
  /// Digest of the values written so far.
  core::Digest ContentDigest() const;

private:
  struct Buffer;
  std::unique_ptr<Buffer> buffer_;
};

/// Reads what a SnapshotWriter wrote. After the first failure every value is
/// empty and Outcome() tells why.
class SnapshotReader
{
public:
  explicit SnapshotReader(std::string_view aBytes);
  ~SnapshotReader();
  SnapshotReader(const SnapshotReader&) = delete;
  SnapshotReader& operator=(const SnapshotReader&) = delete;

  std::uint64_t Number();
  std::string Text();
  bool Flag();
  core::Digest Digest();
  /// A number of elements; fails above what the remaining bytes can hold.
  std::size_t Count();

  template<typename T>
  T Id()
  {
    if constexpr (requires { typename T::RepType; }) {
      return T(static_cast<typename T::RepType>(Number()));
    } else {
      return T(Text());
    }
  }
  template<typename T>
  T Time()
  {
    return T(
      typename T::duration(static_cast<typename T::duration::rep>(Number())));
  }
  /// Reads an enumeration value; fails above aLast.
  template<typename T>
  T Enum(T aLast)
  {
    const std::uint64_t value = Number();
    if (value > static_cast<std::uint64_t>(aLast)) {
      Fail("value out of range");
      return T{};
    }
    return static_cast<T>(value);
  }

  /// Version of the format that the snapshot was written in.
  std::uint32_t Version() const { return version_; }
  void Fail(std::string aDetail);
  bool Ok() const { return ok_; }
  /// Error unless all values were read without failure.
  core::Status Outcome() const;

private:
  struct Buffer;
  std::unique_ptr<Buffer> buffer_;
  std::uint32_t version_ = kSnapshotVersion;
  bool ok_ = true;
  core::Error failure_;
};

} // namespace crocusslip::state
