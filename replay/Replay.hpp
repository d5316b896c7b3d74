#pragma once

#include "protocol/TraceFile.hpp"
#include "replay/Measures.hpp"
#include "replay/ReplayPolicy.hpp"

namespace crocusslip::replay {

/// Replays a trace in virtual time under a policy. Equal arguments give equal
/// results.
Measures
ReplayTrace(const protocol::Trace& aTrace, const ReplayPolicy& aPolicy);

} // namespace crocusslip::replay
