#include "protocol/RaftWire.hpp"

#include "crocusslip_types.h"
#include "protocol/Version.hpp"

namespace crocusslip::protocol {

namespace {

template<typename To>
To
Number(std::int64_t aValue)
{
  return To(static_cast<typename To::RepType>(aValue));
}

template<typename From>
std::int64_t
Number64(From aValue)
{
  return static_cast<std::int64_t>(aValue.Value());
}

core::Error
Invalid(const char* aWhat)
{
  return { make_error_code(core::Errc::InvalidInput), aWhat };
}

} // namespace

wire::RaftMessage
ToWire(const coordination::RaftMessage& aMessage)
{
  wire::RaftMessage message;
  message.version = kWireVersion;
  message.cluster = aMessage.cluster_;
  message.group = static_cast<std::int32_t>(aMessage.group_);
  message.sender = static_cast<std::int32_t>(aMessage.from_.Value());
  message.receiver = static_cast<std::int32_t>(aMessage.to_.Value());
  message.kind = static_cast<std::int8_t>(aMessage.kind_);
  message.term = Number64(aMessage.term_);
  message.index = Number64(aMessage.index_);
  message.logTerm = Number64(aMessage.logTerm_);
  message.commit = Number64(aMessage.commit_);
  message.reject = aMessage.reject_;
  message.hint = Number64(aMessage.hint_);
  message.round = static_cast<std::int64_t>(aMessage.round_);
  message.transfer = aMessage.transfer_;
  message.entries.reserve(aMessage.entries_.size());
  for (const state::LogEntry& entry : aMessage.entries_) {
    wire::RaftEntry copy;
    copy.term = Number64(entry.term_);
    copy.index = Number64(entry.index_);
    copy.kind = static_cast<std::int8_t>(entry.kind_);
    copy.payload = entry.payload_;
    message.entries.push_back(std::move(copy));
  }
  return message;
}

core::Result<coordination::RaftMessage>
FromWire(const wire::RaftMessage& aMessage)
{
  if (aMessage.version < kOldestWireVersion) {
    return Invalid("unknown wire version");
  }
  if (aMessage.kind < 0 ||
      aMessage.kind >
        static_cast<std::int8_t>(coordination::RaftMessageKind::TimeoutNow)) {
    return Invalid("unknown message kind");
  }
  coordination::RaftMessage message;
  message.cluster_ = aMessage.cluster;
  message.group_ = static_cast<std::uint32_t>(aMessage.group);
  message.from_ = core::MemberId(static_cast<std::uint32_t>(aMessage.sender));
  message.to_ = core::MemberId(static_cast<std::uint32_t>(aMessage.receiver));
  message.kind_ = static_cast<coordination::RaftMessageKind>(aMessage.kind);
  message.term_ = Number<core::Term>(aMessage.term);
  message.index_ = Number<core::LogIndex>(aMessage.index);
  message.logTerm_ = Number<core::Term>(aMessage.logTerm);
  message.commit_ = Number<core::LogIndex>(aMessage.commit);
  message.reject_ = aMessage.reject;
  message.hint_ = Number<core::LogIndex>(aMessage.hint);
  message.round_ = static_cast<std::uint64_t>(aMessage.round);
  message.transfer_ = aMessage.transfer;
  message.entries_.reserve(aMessage.entries.size());
  for (const wire::RaftEntry& entry : aMessage.entries) {
    if (entry.kind < 0 ||
        entry.kind > static_cast<std::int8_t>(state::EntryKind::Membership)) {
      return Invalid("unknown entry kind");
    }
    message.entries_.push_back({ Number<core::Term>(entry.term),
                                 Number<core::LogIndex>(entry.index),
                                 static_cast<state::EntryKind>(entry.kind),
                                 entry.payload });
  }
  return message;
}

} // namespace crocusslip::protocol
