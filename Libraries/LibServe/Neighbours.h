//===- LibServe/Neighbours.h - What other failure domains can take --------===//
///
/// \file
/// Entry hosts tell those of other failure domains what they can take, service
/// by service. This class keeps the newest word of each and adds them up.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_NEIGHBOURS_H
#define LIBSERVE_NEIGHBOURS_H

#include <LibRouting/DomainSummary.h>
#include <LibServe/Peers.h>
#include <LibServe/Serve.pb.h>
#include <mutex>

namespace carobhinge {

/// Thread-safe.
class Neighbours {
public:
  explicit Neighbours(Peers &Links) : Links(Links) {}

  void received(const HostName &From, const message::ServiceSummaries &Told);

  /// One summary for each failure domain that was heard lately.
  [[nodiscard]] std::vector<DomainSummary>
  summaries(const ServiceName &Service) const;

  /// The connected entry host of \p Domain with the most room for the service;
  /// empty if there is none.
  [[nodiscard]] HostName choose(const FailureDomainName &Domain,
                                const ServiceName &Service) const;

private:
  struct Told {
    message::ServiceSummaries Message;
    TimePoint At;
  };

  Peers &Links;
  mutable std::mutex Lock;
  std::map<HostName, Told> Hosts;
};

} // namespace carobhinge

#endif // LIBSERVE_NEIGHBOURS_H
