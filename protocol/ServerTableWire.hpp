#pragma once

#include "core/Error.hpp"

#include "fleet_types.h"

#include <string>

namespace crocusslip::protocol {

/// A table of servers as it is sent to hosts.
struct EncodedTable
{
  std::string compressed_;
  /// Size before compression.
  std::size_t bytes_ = 0;
};

EncodedTable
EncodeTable(const wire::ServerTable& aTable);

/// InvalidInput if the bytes are no table.
core::Result<wire::ServerTable>
DecodeTable(const std::string& aCompressed, std::size_t aBytes);

} // namespace crocusslip::protocol
