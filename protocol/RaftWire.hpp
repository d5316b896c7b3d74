#pragma once

#include "coordination/RaftMessage.hpp"
#include "core/Error.hpp"

namespace crocusslip::wire {
class RaftMessage;
}

/// Group messages between their typed form and Thrift.
namespace crocusslip::protocol {

wire::RaftMessage
ToWire(const coordination::RaftMessage& aMessage);

/// Errc::InvalidInput when the version or the kind is not known.
core::Result<coordination::RaftMessage>
FromWire(const wire::RaftMessage& aMessage);

} // namespace crocusslip::protocol
