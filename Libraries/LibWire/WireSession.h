//===- LibWire/WireSession.h - One HTTP/2 session on one connection -------===//
///
/// \file
/// The part shared by client and server: reading, writing, pings and the table
/// of streams. Everything runs on the connection's strand.
///
//===----------------------------------------------------------------------===//

#ifndef LIBWIRE_WIRESESSION_H
#define LIBWIRE_WIRESESSION_H

#include <LibWire/MessageFraming.h>
#include <LibWire/WireOptions.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <optional>
#include <string>

namespace carobhinge {

/// One stream of a session, which carries one call and its replies.
struct WireStreamState {
  WireStreamState(std::size_t MessageBytes, std::int32_t Id)
      : Id(Id), Incoming(MessageBytes) {}

  std::int32_t Id;
  /// Received header fields; on the server ":path" holds the method name.
  std::map<std::string, std::string> Headers = {};
  MessageAssembler Incoming;
  TimePoint StartedAt = monotonicNow();
  /// Bytes of all header fields received.
  std::size_t HeaderBytes = 0;
  /// The share of Incoming in the budget; empty while nothing is incomplete.
  std::optional<HeldBytes> Held = {};
  /// Bytes by which the flow-control window was reopened before their message
  /// was consumed, since the message is longer than the window.
  std::size_t PrepaidBytes = 0;
  /// The stream is being reset; what it still receives is dropped.
  bool Rejected = false;
  /// The peer has ended its side of the stream.
  bool RemoteEnded = false;

  /// Framed bytes to send. Those before OutgoingOffset have been passed to
  /// nghttp2.
  std::string Outgoing = {};
  std::size_t OutgoingOffset = 0;
  /// The local end adds no more bytes to Outgoing.
  bool LocalEnded = false;
  /// nghttp2 does not read Outgoing until nghttp2_session_resume_data().
  bool Deferred = false;

  /// Called when all of Outgoing has been passed to nghttp2.
  std::function<void()> OnDrained = {};
  /// Called for each complete message received.
  std::function<void(std::string)> OnMessage = {};
  /// Called once when the peer has ended its side of the stream.
  std::function<void()> OnRemoteEnd = {};
  /// Called once when the stream is closed. \p ErrorCode is an HTTP/2 error
  /// code; zero means that both ends completed the stream.
  std::function<void(std::uint32_t ErrorCode)> OnClose = {};
};

class WireSession : public std::enable_shared_from_this<WireSession> {
public:
  enum class Role { Client, Server };

  WireSession(boost::asio::ip::tcp::socket Socket, Role LocalRole,
              const WireOptions &Options);
  ~WireSession();
  WireSession(const WireSession &) = delete;
  WireSession &operator=(const WireSession &) = delete;

  /// Called on the server for each stream when its request headers are
  /// complete.
  std::function<void(std::shared_ptr<WireStreamState>)> OnNewStream;

  /// Reads and writes until the connection ends, then closes every stream.
  boost::asio::awaitable<void> run();

  /// Closes the connection, which makes run() return.
  void close();

  /// Client only: opens a stream for \p Method with one request message.
  /// Returns null if nghttp2 cannot open a stream.
  std::shared_ptr<WireStreamState> submitCall(std::string_view Method,
                                              std::string_view Message);
  /// Server only: sends the response headers of a stream. Messages follow with
  /// queueMessage(), and endMessages() ends the stream.
  void submitResponse(WireStreamState &Stream, unsigned Status);

  void queueMessage(WireStreamState &Stream, std::string_view Message);
  void endMessages(WireStreamState &Stream);
  void resetStream(WireStreamState &Stream, std::uint32_t ErrorCode);
  /// Records that the reader of a stream consumed \p Bytes, so that the peer's
  /// flow-control window reopens.
  void consume(std::int32_t StreamId, std::size_t Bytes);

  [[nodiscard]] bool isOpen() const { return this->Open; }
  /// Returns the bytes of all streams that have not been passed to nghttp2.
  [[nodiscard]] std::size_t queuedBytes() const {
    return this->QueuedByteCount;
  }
  /// Returns the peer's IP address.
  [[nodiscard]] const std::string &peer() const { return this->Peer; }
  [[nodiscard]] auto executor() { return this->Socket.get_executor(); }

private:
  struct Callbacks;

  boost::asio::awaitable<void> readLoop();
  /// Takes the bytes that have arrived. \returns whether the connection goes
  /// on.
  bool readReady();
  boost::asio::awaitable<void> writeLoop();
  boost::asio::awaitable<void> pingLoop();
  void wakeWriter();
  /// Forgets all streams without a call to their handlers.
  void dropHandlers();
  void handleData(std::int32_t StreamId, std::string_view Data);
  /// Charges the bytes of an incomplete message and reopens the window for the
  /// rest of a long one.
  void holdPending(WireStreamState &Stream);
  /// Charges the bytes that wait to be sent, and closes the connection if there
  /// is no place for them.
  void holdQueued();
  /// Reports \p Limit and closes the connection.
  void closeAtLimit(std::string_view Limit);
  /// Resets a stream that would make this host keep too much.
  void reject(WireStreamState &Stream);
  void rejectOverdueStreams();
  void handleStreamClosed(std::int32_t StreamId, std::uint32_t ErrorCode);
  std::shared_ptr<WireStreamState> find(std::int32_t StreamId);

  boost::asio::ip::tcp::socket Socket;
  const Role LocalRole;
  const WireOptions Options;
  nghttp2_session *Session = nullptr;
  bool Open = true;
  /// Time of the last read from the connection.
  TimePoint LastReceived;
  std::size_t QueuedByteCount = 0;
  /// Bytes passed to the socket that it has not taken yet.
  std::size_t SendingByteCount = 0;
  /// The IP address of the peer.
  std::string Peer;
  /// The share of what waits to be sent in the budget; on servers only.
  std::optional<HeldBytes> QueuedHeld;
  /// Never expires; cancelled to wake the writer when there is data to send.
  boost::asio::steady_timer WriterSignal;
  boost::asio::steady_timer PingTimer;
  std::map<std::int32_t, std::shared_ptr<WireStreamState>> Streams;
};

} // namespace carobhinge

#endif // LIBWIRE_WIRESESSION_H
