#pragma once

#include "core/StrongId.hpp"

#include <cstdint>

/// Identifiers used across the system.
namespace crocusslip::core {

using DeploymentId = StrongId<struct DeploymentTag>;
using ServerId = StrongId<struct ServerTag>;
using HostId = StrongId<struct HostTag>;
using FailureDomainId = StrongId<struct FailureDomainTag>;
using CallerId = StrongId<struct CallerTag>;
/// Name under which an engine knows a model or an adapter.
using ModelName = StrongId<struct ModelTag>;
/// Id that an operator's client gives a change, so that it can be resent.
using ChangeId = StrongId<struct ChangeTag>;
using OperatorId = StrongId<struct OperatorTag>;
using RequestId = StrongId<struct RequestTag>;

using MemberId = StrongNumber<struct MemberTag, std::uint32_t>;
using Term = StrongNumber<struct TermTag, std::uint64_t>;
using LogIndex = StrongNumber<struct LogIndexTag, std::uint64_t>;
using Revision = StrongNumber<struct RevisionTag, std::uint64_t>;
/// An order's id is the log index of the decision that it carries out.
using OrderId = StrongNumber<struct OrderTag, std::uint64_t>;
using Attempt = StrongNumber<struct AttemptTag, std::uint32_t>;

} // namespace crocusslip::core
