//===- LibEntry/StandbyAttempt.h - A second attempt beside the first ------===//
///
/// \file
/// Sends a request whose first attempt has fallen silent to another target
/// while the first one goes on. Holds the answer back until the session follows
/// it. An attempt that is never followed ends at the dispatcher and the crash
/// detector by itself, once; one that is followed is ended by its session.
///
//===----------------------------------------------------------------------===//

#ifndef LIBENTRY_STANDBYATTEMPT_H
#define LIBENTRY_STANDBYATTEMPT_H

#include <LibCore/HeldBytes.h>
#include <LibCore/Signal.h>
#include <LibEntry/EndpointProtocol.h>
#include <LibEntry/EntryState.h>
#include <LibEntry/EventRelay.h>
#include <LibHTTP/HttpClient.h>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace carobhinge {

struct SessionContext;

struct StandbyOptions {
  AttemptNumber Number = 0;
  DispatchTarget Target = {};
  HttpRequest Request = {};
  /// Identifies the attempt of the caller, which answers name.
  std::string RequestId = {};
  /// Detects the first event to pass on.
  EventRelay Preview = EventRelay();
  HttpCallOptions Call = {};
  /// Called when the standby has an event. Returns whether the session follows
  /// it.
  std::function<bool()> MayDeliver = {};
  /// Called if the standby has ended and is not followed.
  std::function<void()> OnEnd = {};
};

class StandbyAttempt : public HttpResponseSink,
                       public std::enable_shared_from_this<StandbyAttempt> {
public:
  StandbyAttempt(SessionContext &Context, StandbyOptions Options);

  /// Starts the attempt, which is in progress at the dispatcher and the crash
  /// detector already.
  void start();
  /// Passes the answer on to \p Receiver from its beginning. Returns how the
  /// call ended, or nothing if no part was passed on; the attempt has ended by
  /// itself then. Throws what \p Receiver throws.
  boost::asio::awaitable<std::optional<HttpCallOutcome>>
  follow(HttpResponseSink &Receiver);
  /// The session needs this attempt no more. Nothing is called back after this.
  void release();
  /// This host ends the call; the session still follows it.
  void cancel();

  [[nodiscard]] HttpCallControl &control() { return this->Control; }
  [[nodiscard]] const DispatchTarget &target() const {
    return this->Options.Target;
  }
  [[nodiscard]] AttemptNumber number() const { return this->Options.Number; }
  /// The endpoint sent bytes that are no answer to this request.
  [[nodiscard]] bool isUnusable() const { return this->IsUnusable; }
  /// The endpoint asked for a pause.
  [[nodiscard]] bool isPaused() const { return this->IsPaused; }
  /// The endpoint may have run the request. Of an attempt that has not ended
  /// by itself this is to be assumed.
  [[nodiscard]] bool mayHaveRun() const { return this->MayHaveRun; }

  boost::asio::awaitable<void> head(const HttpResponseHead &Head) override;
  boost::asio::awaitable<void> chunk(std::string Data) override;

private:
  static boost::asio::awaitable<void> run(std::shared_ptr<StandbyAttempt> Self);
  boost::asio::awaitable<void> perform();
  /// Waits until the session follows, and passes on what is held.
  boost::asio::awaitable<void> handOver();
  [[nodiscard]] bool hold(std::size_t Bytes);
  /// Ends the attempt of which nothing was passed on.
  void settle();

  SessionContext &Context;
  StandbyOptions Options;
  HttpCallControl Control;
  HttpResponseHead AnswerHead;
  ResponseMetadata AnswerMetadata;
  bool HasHead = false;
  bool CarriesEvents = false;
  /// Bytes of the body up to the first event.
  std::string Held;
  std::optional<HeldBytes> HeldPlace;
  bool IsUnusable = false;
  bool IsPaused = false;
  bool IsCancelled = false;
  bool MayHaveRun = true;
  /// The receiver has the head and what was held.
  bool IsPassedOn = false;
  /// Null until the session follows.
  HttpResponseSink *Receiver = nullptr;
  /// Fires when the session follows or lets go.
  Signal Decided;
  Signal Ended;
  std::optional<HttpCallOutcome> End;
  std::exception_ptr Failure;
};

} // namespace carobhinge

#endif // LIBENTRY_STANDBYATTEMPT_H
