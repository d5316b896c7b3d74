#pragma once

#include "tests/support/WholeSystem.hpp"

#include <string>

/// Helpers for tests of broken streams in the whole system.
namespace crocusslip::tests {

inline void
StartSystem(const WholeSystemSettings& aSettings)
{
  constexpr std::size_t kThreads = 4;
  transport::StartHttpThreads(kThreads);
  WholeSystem::sInstance = std::make_unique<WholeSystem>(aSettings);
}

/// Sends a streaming request and returns the body without the request id.
inline std::string
Stream(const std::string& aPrompt, bool aDeterministic = true)
{
  nlohmann::json body = { { "model", "plan" },
                          { "prompt", aPrompt },
                          { "max_tokens", 9 },
                          { "stream", true } };
  if (aDeterministic) {
    body["seed"] = 1;
  }
  return WithoutRequestIds(
    WholeSystem::Instance().Post("/v1/completions", body.dump()).body_);
}

/// Checks that the answer is a prefix of the unbroken one, followed by an error
/// event.
inline void
CheckEndedWith(const std::string& aAnswer, const std::string& aUnbroken)
{
  const std::size_t error = aAnswer.find("event: error");
  BOOST_REQUIRE(error != std::string::npos);
  BOOST_TEST(error > 0U);
  BOOST_TEST(aAnswer.substr(0, error) == aUnbroken.substr(0, error));
  BOOST_TEST(aAnswer.find("\"reason\":\"stream_broken\"", error) !=
             std::string::npos);
}

/// Sets faults of the engines during one test case and clears them afterwards.
struct FaultFixture
{
  ~FaultFixture()
  {
    SetAll({ { "break_stream_after", 0 },
             { "break_streams", 0 },
             { "break_new_streams", false },
             { "break_inside_event", false },
             { "other_generation", false },
             { "other_tokens", false },
             { "forget_streams", false } });
  }
  void SetAll(const nlohmann::json& aFaults)
  {
    for (std::size_t i = 0; i < system_.Engines(); ++i) {
      system_.SetEngineFaults(aFaults, i);
    }
  }

  WholeSystem& system_ = WholeSystem::Instance();
  const std::string unbroken_ = Stream("unbroken");
};

} // namespace crocusslip::tests
