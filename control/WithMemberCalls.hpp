#pragma once

#include "Member.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace crocusslip::control {

/// A generated processor that also serves the calls between members, so that
/// both services share one port. Their method names differ.
template<typename Processor, typename Handler>
class WithMemberCalls final : public Processor
{
public:
  WithMemberCalls(std::shared_ptr<Handler> aHandler,
                  std::shared_ptr<wire::MemberIf> aMember)
    : Processor(std::move(aHandler))
    , member_(std::move(aMember))
  {
  }

protected:
  bool dispatchCall(apache::thrift::protocol::TProtocol* aIn,
                    apache::thrift::protocol::TProtocol* aOut,
                    const std::string& aName,
                    std::int32_t aSequence,
                    void* aContext) override
  {
    if (aName == "raft" || aName == "ping" || aName == "installSnapshot") {
      return member_.dispatchCall(aIn, aOut, aName, aSequence, aContext);
    }
    return Processor::dispatchCall(aIn, aOut, aName, aSequence, aContext);
  }

private:
  /// Opens the protected dispatch of the generated processor.
  class MemberCalls final : public wire::MemberProcessor
  {
  public:
    using wire::MemberProcessor::dispatchCall;
    using wire::MemberProcessor::MemberProcessor;
  };

  MemberCalls member_;
};

} // namespace crocusslip::control
