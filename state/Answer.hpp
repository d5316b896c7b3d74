#pragma once

#include "core/Ids.hpp"
#include "state/AgreedTime.hpp"
#include "state/Command.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Answers of the replicated state machine to its commands.
namespace crocusslip::state {

enum class ChangeResult : std::uint8_t
{
  Accepted,
  /// Another change took the expected revision.
  Conflict,
  /// The change id was used before with other content.
  ChangeIdReused,
  /// Empty batch, bad path, or expected revision not reached yet.
  Invalid,
  /// Batch, node text or tree above its limit.
  TooLarge,
  /// Too many change answers are kept at present.
  Overloaded,
};

struct ChangeAnswer
{
  ChangeResult result_ = ChangeResult::Invalid;
  /// Revision of the tree after the change, or at present if not accepted.
  core::Revision revision_;
  /// For a conflict: the change that took the expected revision.
  core::OperatorId winner_;
  core::Revision winnerRevision_;
  /// Paths of the winner, at most kMaxAnswerPaths.
  std::vector<std::string> winnerPaths_;
  /// This is the first answer to a resent change.
  bool repeated_ = false;
  std::string detail_;
};

enum class DecisionResult : std::uint8_t
{
  Decided,
  AlreadyPresent,
  MaximumReached,
  NoMemory,
  ServerDraining,
  NoSuchReplica,
  /// Another order for the replica is outstanding.
  OrderOutstanding,
  Invalid,
};

struct DecisionAnswer
{
  DecisionResult result_ = DecisionResult::Invalid;
  core::OrderId order_;
};

enum class ObservationResult : std::uint8_t
{
  Recorded,
  /// The order, replica or server is not in the table, or a newer order is.
  Superseded,
};

struct ObservationAnswer
{
  ObservationResult result_ = ObservationResult::Superseded;
};

enum class ClaimResult : std::uint8_t
{
  Granted = 0,
  InProgress = 1,
  Answered = 2,
  OutcomeUnknown = 3,
  KeyReused = 4,
  KeyExpired = 5,
  TableFull = 6,
};

struct ClaimAnswer
{
  ClaimResult result_ = ClaimResult::TableFull;
  /// Set when the result is Answered.
  StoredAnswer answer_;
};

enum class RecordResult : std::uint8_t
{
  Recorded,
  /// No claim with this key.
  NoClaim,
  /// Another owner holds the claim.
  NotOwner,
  /// The outcome was recorded, or became unknown, before.
  Settled,
};

struct RecordAnswer
{
  RecordResult result_ = RecordResult::NoClaim;
};

struct DrainAnswer
{
  /// False when the drain was as requested before.
  bool changed_ = false;
};

struct QuarantineAnswer
{
  bool held_ = false;
  std::uint32_t servers_ = 0;
  AgreedTime until_;
};

struct TimeAnswer
{
  AgreedTime now_;
};

struct PublishAnswer
{
  /// False when a version as high was held before.
  bool adopted_ = false;
  /// The version in force after the command.
  std::uint64_t version_ = 0;
};

struct OrdersAnswer
{
  /// A number for each recorded order; 0 if the table is full, so that the
  /// order must not be sent.
  std::vector<std::uint64_t> numbers_;
};

using Answer = std::variant<ChangeAnswer,
                            DecisionAnswer,
                            ObservationAnswer,
                            ClaimAnswer,
                            RecordAnswer,
                            DrainAnswer,
                            QuarantineAnswer,
                            TimeAnswer,
                            PublishAnswer,
                            OrdersAnswer>;

} // namespace crocusslip::state
