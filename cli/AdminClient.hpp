#pragma once

#include "core/Error.hpp"

#include <cstdint>
#include <string>

namespace crocusslip::cli {

/// One call of the operators' API.
struct AdminRequest
{
  std::string method_;
  /// Path below /admin/v1, with its query.
  std::string path_;
  /// JSON; empty for GET.
  std::string body_;
  /// Whether it may be sent again when its answer is lost.
  bool repeatable_ = true;
};

struct AdminReply
{
  std::uint16_t status_ = 0;
  std::string body_;
};

/// Calls the operators' API of a control group, wherever its leader is.
class AdminClient
{
public:
  virtual ~AdminClient() = default;
  /// Errc::ConnectFailed or Errc::Timeout when no member answered.
  virtual core::Result<AdminReply> Call(const AdminRequest& aRequest) = 0;
};

} // namespace crocusslip::cli
