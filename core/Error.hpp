#pragma once

#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace crocusslip::core {

enum class Errc : int
{
  Ok = 0,
  NotLeader,
  Timeout,
  Unavailable,
  Corrupt,
  TornTail,
  WrongIdentity,
  NewerVersion,
  DiskFull,
  SyncFailed,
  InvalidInput,
  TooLarge,
  Conflict,
  NotFound,
  Forbidden,
  ConnectFailed,
  ConnectionLost,
  Stopped,
};

const std::error_category&
ErrorCategory();

std::error_code
make_error_code(Errc aCode); // NOLINT(readability-identifier-naming)

/// An error code with the detail that a person needs.
struct Error
{
  std::error_code code_;
  std::string detail_;

  std::string Message() const;
};

/// A value or the error that prevented it.
template<typename T>
class Result
{
public:
  Result(T aValue) // NOLINT(google-explicit-constructor)
    : content_(std::move(aValue))
  {
  }
  Result(Error aError) // NOLINT(google-explicit-constructor)
    : content_(std::move(aError))
  {
  }

  bool Ok() const { return content_.index() == 0; }
  explicit operator bool() const { return Ok(); }
  T& Value() { return std::get<0>(content_); }
  const T& Value() const { return std::get<0>(content_); }
  const Error& Failure() const { return std::get<1>(content_); }

private:
  std::variant<T, Error> content_;
};

struct Success
{};
using Status = Result<Success>;

} // namespace crocusslip::core

template<>
struct std::is_error_code_enum<crocusslip::core::Errc> : std::true_type
{
};
