#pragma once

#include "Fleet.h"
#include "Member.h"
#include "control/FleetController.hpp"
#include "control/GroupHost.hpp"

#include <memory>
#include <string>

namespace apache::thrift {
class TProcessor;
}

namespace crocusslip::control {

/// Thrift services of a control process for entry hosts and for the other
/// members, on one port.
std::shared_ptr<apache::thrift::TProcessor>
MakeFleetProcessor(GroupHost& aGroup,
                   FleetController& aController,
                   std::string aCluster);

} // namespace crocusslip::control
