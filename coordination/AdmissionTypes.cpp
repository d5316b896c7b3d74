#include "coordination/AdmissionTypes.hpp"

#include "coordination/TimeMath.hpp"

#include <sstream>

namespace crocusslip::coordination {

std::string
AdmissionRefusal::Text() const
{
  const AdmissionFigures& figures = figures_;
  std::ostringstream text;
  text << core::Name(reason_) << " (" << core::Name(ran_) << "): deadline in "
       << Millis(figures.deadline_ - figures.now_) << " ms, expected finish in "
       << Millis(figures.expectedFinish_ - figures.now_) << " ms, service time "
       << Millis(figures.serviceTime_) << " ms +- "
       << Millis(figures.serviceDeviation_) << " ms, " << figures.workAhead_
       << " ahead, " << figures.waiting_ << " waiting ("
       << figures.callerWaiting_ << " of the caller), " << figures.inFlight_
       << " of " << figures.slots_ << " slots in use ("
       << figures.callerInFlight_ << " by the caller), "
       << figures.waitingBytes_.Count() << " bytes waiting";
  if (figures.limit_ > 0.0) {
    text << ", limit " << figures.limit_;
  }
  return text.str();
}

} // namespace crocusslip::coordination
