#include "core/Error.hpp"

namespace crocusslip::core {

namespace {

class Category final : public std::error_category
{
public:
  const char* name() const noexcept override { return "crocusslip"; }

  std::string message(int aValue) const override
  {
    switch (static_cast<Errc>(aValue)) {
      case Errc::Ok:
        return "success";
      case Errc::NotLeader:
        return "this member is not the leader";
      case Errc::Timeout:
        return "timed out";
      case Errc::Unavailable:
        return "unavailable";
      case Errc::Corrupt:
        return "data is corrupt";
      case Errc::TornTail:
        return "log ends in a torn record";
      case Errc::WrongIdentity:
        return "data folder belongs to another member or cluster";
      case Errc::NewerVersion:
        return "data was written by a newer version";
      case Errc::DiskFull:
        return "disk is full";
      case Errc::SyncFailed:
        return "sync to disk failed";
      case Errc::InvalidInput:
        return "invalid input";
      case Errc::TooLarge:
        return "input is too large";
      case Errc::Conflict:
        return "conflict";
      case Errc::NotFound:
        return "not found";
      case Errc::Forbidden:
        return "forbidden";
      case Errc::ConnectFailed:
        return "connection could not be opened";
      case Errc::ConnectionLost:
        return "connection was lost";
      case Errc::Stopped:
        return "stopped";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category&
ErrorCategory()
{
  static const Category sCategory;
  return sCategory;
}

std::error_code
make_error_code(Errc aCode)
{
  return { static_cast<int>(aCode), ErrorCategory() };
}

std::string
Error::Message() const
{
  return detail_.empty() ? code_.message() : code_.message() + ": " + detail_;
}

} // namespace crocusslip::core
