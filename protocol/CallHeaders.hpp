#pragma once

#include <string>
#include <vector>

namespace crocusslip::protocol {

/// Names of the headers that callers and backend servers of a deployment use.
struct CallHeaders
{
  /// Id of a caller's attempt; servers repeat it in their answers.
  std::string requestId_;
  /// Milliseconds that the sender will wait.
  std::string deadlineMs_;
  /// Id of the only server that may run the request.
  std::string expectedServer_;
  /// In an answer: the request did not run and never will.
  std::string notRun_;
  /// In an answer: proof that a server made it.
  std::string signature_;
  /// MODEL or MODEL/ADAPTER.
  std::string model_;
  /// Tokens of the prompt and most tokens of the answer: "IN,OUT".
  std::string tokens_;
  /// Parts of the prompt in order, "ID:TOKENS,...". All but the last are
  /// shared with other requests.
  std::string promptParts_;
  /// Rank of a request at a server; 0 is first.
  std::string urgency_;
  /// Id of the last event that the sender has.
  std::string lastEvent_;
  /// Headers that only this system may set; dropped from callers.
  std::vector<std::string> reserved_;
  /// In an answer: requests per second that the server takes from all hosts
  /// together, as long as its answers say so.
  std::string rateLimit_;
  /// In an answer: the server leaves and takes no new requests.
  std::string leaving_;
  /// "Bearer KEY" of a caller; never passed on to servers if the table has
  /// tenants.
  std::string key_;
  /// Name of the tenant that a request's key belongs to; only this system sets
  /// it.
  std::string tenant_;
  /// In an answer: requests that run, requests that wait and slots of the
  /// server, "RUNNING,WAITING,SLOTS", and in some deployments how long work
  /// takes there now in percent of the usual time, ",PACE".
  std::string load_;
};

} // namespace crocusslip::protocol
