#include "fuzz/Decoders.hpp"

#include <sanitizer/allocator_interface.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>

/// libFuzzer's entry points; scripts/fuzz names the decoder and the bound on
/// processor time in the environment.
namespace {

using crocusslip::fuzz::Decoder;

/// Inputs during which libraries set up what they keep.
constexpr std::uint64_t kWarmUpInputs = 1000;
constexpr std::int64_t kNanosecondsInMillisecond = 1'000'000;

struct Run
{
  const Decoder* decoder_ = nullptr;
  std::int64_t limitNanoseconds_ = 0;
  std::int64_t slowestNanoseconds_ = 0;
  /// Heap bytes that inputs after the first ones left allocated.
  std::int64_t retained_ = 0;
  std::uint64_t inputs_ = 0;
};

Run gRun;

std::int64_t
ProcessorTime()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  constexpr std::int64_t kNanosecondsInSecond = 1'000'000'000;
  return now.tv_sec * kNanosecondsInSecond + now.tv_nsec;
}

void
Report()
{
  std::fprintf(stderr,
               "crocusslip: inputs=%llu slowest_us=%lld retained=%lld\n",
               static_cast<unsigned long long>(gRun.inputs_),
               static_cast<long long>(gRun.slowestNanoseconds_ / 1000),
               static_cast<long long>(gRun.retained_));
}

} // namespace

extern "C" int
LLVMFuzzerInitialize(int*, char***)
{
  const char* const name = std::getenv("CROCUSSLIP_FUZZ_DECODER");
  const char* const limit = std::getenv("CROCUSSLIP_FUZZ_MILLISECONDS");
  gRun.decoder_ = crocusslip::fuzz::FindDecoder(name == nullptr ? "" : name);
  if (gRun.decoder_ == nullptr || limit == nullptr) {
    std::fputs("run this through scripts/fuzz; the decoders are:\n", stderr);
    for (const Decoder& decoder : crocusslip::fuzz::Decoders()) {
      std::printf("%s\n", std::string(decoder.name_).c_str());
    }
    std::exit(2);
  }
  gRun.limitNanoseconds_ =
    std::strtoll(limit, nullptr, 10) * kNanosecondsInMillisecond;
  std::atexit(Report);
  return 0;
}

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view input(reinterpret_cast<const char*>(aData), aSize);
  const std::size_t heldBefore = __sanitizer_get_current_allocated_bytes();
  const std::int64_t start = ProcessorTime();
  gRun.decoder_->run_(input);
  const std::int64_t taken = ProcessorTime() - start;
  const std::size_t heldAfter = __sanitizer_get_current_allocated_bytes();
  if (gRun.inputs_ >= kWarmUpInputs) {
    gRun.retained_ += static_cast<std::int64_t>(heldAfter - heldBefore);
  }
  gRun.slowestNanoseconds_ = std::max(gRun.slowestNanoseconds_, taken);
  ++gRun.inputs_;
  if (taken > gRun.limitNanoseconds_) {
    std::fputs("crocusslip: hang\n", stderr);
    Report();
    std::abort();
  }
  return 0;
}
