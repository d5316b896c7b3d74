#include "entry/Request.hpp"

#include "coordination/CrashGuard.hpp"

namespace crocusslip::entry {

coordination::RouteRequest
Request::MakeRouteRequest() const
{
  coordination::RouteRequest route;
  route.fingerprint_ = coordination::RouteKeyOf(fingerprint_);
  route.proven_ = proven_;
  route.isolated_ = isolated_;
  route.prefixBlocks_ = prefixBlocks_;
  route.answerStarted_ = answerStarted_.load();
  route.avoid_ = tried_;
  route.avoidDomain_ = avoidDomain_;
  return route;
}

} // namespace crocusslip::entry
