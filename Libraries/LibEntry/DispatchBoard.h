//===- LibEntry/DispatchBoard.h - Where a request is sent -----------------===//
///
/// \file
/// What one entry host knows of the places that serve: what the control hosts
/// told, what it has sent there itself, and how the answers came. Chooses a
/// place for each request and finds places that went silent. No clock and no
/// sockets.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_DISPATCHBOARD_H
#define LIBENTRY_DISPATCHBOARD_H

#include <LibCatalog/Catalog.h>
#include <LibCore/Names.h>
#include <LibCore/Time.h>
#include <LibFormation/PlaceMode.h>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace carobhinge {

/// The head of a group, or a plain endpoint.
using PlaceName = std::string;

struct Place {
  PlaceName Name = {};
  EndpointName Endpoint = {};
  /// "IP:PORT".
  std::string Address = {};
  ServiceName Service = {};
  /// Empty for plain services.
  ModelName Model = {};
  FailureDomainName FailureDomain = {};
  /// Requests that it processes at once.
  int Slots = 1;
  TimePoint ColdUntil = {};
  PlaceMode Mode = PlaceMode::Open;
  /// Of a group: its number, which grows with each list of members.
  std::uint64_t Epoch = 0;
};

struct DispatchOptions {
  /// A stream that has begun and gets no event for this long, with no other
  /// event from the same place, is taken to stand still: a pass of a full
  /// group takes a tenth of it.
  Duration SilentStream = std::chrono::milliseconds(450);
  /// After this long the control hosts are told, so that they ask the members
  /// of the group: two to three passes of a busy group.
  Duration Suspicious = std::chrono::milliseconds(260);
  /// The same for a stream that waits for its first event, which includes
  /// the wait for a slot and the reading of its prompt.
  Duration SilentStart = std::chrono::milliseconds(700);
  /// A place that stood still is tried again after this time, unless the
  /// control hosts have said otherwise by then.
  Duration SilenceLasts = std::chrono::milliseconds(1000);
  /// How long a place is left alone after a connection failed, doubled with
  /// each failure in a row up to the second figure.
  Duration LeastRest = std::chrono::milliseconds(250);
  Duration MostRest = std::chrono::seconds(4);
  /// Weight of the newest answer in a place's running figures.
  double Smoothing = 0.2;
  /// What was learned of a place counts half after this time without an
  /// answer, so that one that is avoided gets another chance.
  Duration FiguresHalve = std::chrono::seconds(2);
  /// A mean time to the first event, and a mean pause, that make a place count
  /// as loaded twice: about twice the usual objectives of streams.
  Duration SlowFirst = std::chrono::milliseconds(500);
  Duration SlowPause = std::chrono::milliseconds(250);
  /// A place that fails all requests counts as loaded this many times more, so
  /// that any other one is taken first.
  double FailureWeight = 8;
  /// Load, in requests for each slot, that a place of another failure domain
  /// has to be better by; bytes between domains are priced.
  double DomainPreference = 0.04;
  FailureDomainName FailureDomain = {};
  /// Requests in progress for each slot of a group up to which it is given
  /// more. What others sent since they told may fill the rest; beyond the
  /// slots a request waits for one to end.
  double GroupFill = 0.88;
  /// The same for a plain endpoint, which queues a few.
  double PlainQueue = 3;
  /// Entry hosts that send to one cold endpoint at a time.
  int ColdSenders = 12;
  /// Part of what a cold endpoint bears that is used.
  double ColdSafety = 0.8;
  std::uint64_t Seed = 1;
};

/// Where to send a request, if anywhere.
struct DispatchChoice {
  std::optional<Place> Where = {};
  /// There are places, but each has as much as it can process.
  bool Full = false;
};

using AttemptNumber = std::uint64_t;

/// How an attempt at a place ended.
enum class AttemptEnd {
  Answered,
  /// The endpoint said that it has not run the request.
  Refused,
  /// The endpoint's own failure.
  Failed,
  /// Connection failed before a byte was sent.
  Unreachable,
  /// Cut off after the request was sent.
  Lost,
  /// Ended by this side: caller gone, or deadline.
  Dropped,
};

class DispatchBoard {
public:
  explicit DispatchBoard(DispatchOptions Given)
      : Options(std::move(Given)), Random(this->Options.Seed) {}

  /// Adds or changes places. What was learned about a place stays unless its
  /// endpoint is another one.
  void update(std::span<const Place> Changed);
  void remove(const PlaceName &Name);
  /// Keeps only the places in \p Names.
  void retain(const std::set<PlaceName> &Names);
  void emptied(std::set<FailureDomainName> Domains) {
    this->Emptied = std::move(Domains);
  }
  /// This host is number \p Index of \p Count entry hosts.
  void shareWith(int Index, int Count) {
    this->Index = Index;
    this->EntryHosts = std::max(Count, 1);
  }
  /// Requests in a second that a cold endpoint of the service bears from all
  /// entry hosts together; 0: any number.
  void coldLimit(const ServiceName &Service, double PerSecond) {
    this->ColdLimits[Service] = PerSecond;
  }
  /// What other entry hosts have in progress at a place.
  void othersInFlight(const PlaceName &Name, int Count);

  /// A place that may take a request now. Of two drawn by lot the better one:
  /// what others send is known late, and entry hosts that all took the best
  /// place would meet there. \p EvenFull: for requests that were admitted.
  [[nodiscard]] DispatchChoice choose(TimePoint Now, const ServiceName &Service,
                                      const ModelName &Model,
                                      std::span<const PlaceName> Avoid,
                                      bool EvenFull = false);

  AttemptNumber begin(TimePoint Now, const PlaceName &Name, bool Streams);
  /// The attempt got its first bytes, or a further event.
  void progressed(TimePoint Now, AttemptNumber Attempt);
  void end(TimePoint Now, AttemptNumber Attempt, AttemptEnd How);

  /// Whether a place has just become suspicious; the control hosts are to be
  /// told at once.
  bool takeSuspicion() { return std::exchange(this->NewSuspicion, false); }

  /// Attempts that are to be given up and repeated elsewhere, because their
  /// place stands still.
  [[nodiscard]] std::vector<AttemptNumber> findStanding(TimePoint Now);

  struct PlaceLoad {
    PlaceName Name;
    int InFlight = 0;
    /// Time since the last event from there; nothing if there was none.
    std::optional<Duration> SinceEvent;
    bool Silent = false;
  };
  /// Places with work in progress or a finding, for the control hosts.
  [[nodiscard]] std::vector<PlaceLoad> loads(TimePoint Now) const;

  /// Requests in progress by model, and slots of the open places.
  struct ModelLoad {
    int InFlight = 0;
    int Slots = 0;
  };
  [[nodiscard]] ModelLoad load(const ServiceName &Service,
                               const ModelName &Model) const;

private:
  struct Known {
    Place Is;
    int InFlight = 0;
    int Others = 0;
    /// Running means: time to the first event, pause, share of failures.
    double FirstMs = 0;
    double PauseMs = 0;
    double FailureShare = 0;
    /// When they were last brought up to date.
    TimePoint JudgedAt = TimePoint::min();
    std::optional<TimePoint> LastEvent;
    TimePoint RestUntil = TimePoint::min();
    int FailuresInRow = 0;
    /// Since when it is taken to stand still, and since when it is suspicious;
    /// an event ends both.
    std::optional<TimePoint> SilentSince;
    std::optional<TimePoint> SuspiciousSince;
    /// Cold endpoints: when the next request may be sent.
    TimePoint ColdNext = TimePoint::min();
  };
  struct Attempt {
    PlaceName At;
    TimePoint LastProgress;
    bool Begun = false;
    bool Streams = false;
  };

  [[nodiscard]] bool mayTake(TimePoint Now, const Known &Candidate) const;
  [[nodiscard]] bool isSilent(TimePoint Now, const Known &Where) const;
  [[nodiscard]] bool isFull(const Known &Candidate) const;
  [[nodiscard]] bool mayWarm(TimePoint Now, const Known &Candidate) const;
  [[nodiscard]] Duration coldPause(const ServiceName &Service) const;
  [[nodiscard]] double cost(TimePoint Now, const Known &Candidate) const;
  void rest(TimePoint Now, Known &Where);

  DispatchOptions Options;
  std::map<PlaceName, Known> Places;
  std::map<AttemptNumber, Attempt> Attempts;
  std::set<FailureDomainName> Emptied;
  std::map<ServiceName, double> ColdLimits;
  AttemptNumber LastAttempt = 0;
  std::mt19937_64 Random;
  int Index = 0;
  int EntryHosts = 1;
  bool NewSuspicion = false;
};

} // namespace carobhinge

#endif // LIBENTRY_DISPATCHBOARD_H
