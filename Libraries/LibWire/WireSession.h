//===- LibWire/WireSession.h - One nghttp2 session over one connection ----===//
///
/// \file
/// What both ends of a link have in common: reading, writing, pings, and the
/// table of streams. Everything here runs on the connection's strand.
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
#include <string>

namespace carobhinge {

/// One stream of a session: a call and its replies.
struct WireStreamState {
  WireStreamState(std::size_t MessageBytes, std::int32_t Id)
      : Id(Id), Incoming(MessageBytes) {}

  std::int32_t Id;
  /// Header fields received; on the server ":path" names the method.
  std::map<std::string, std::string> Headers = {};
  MessageAssembler Incoming;
  /// The other end has sent everything.
  bool RemoteEnded = false;

  /// Framed bytes not yet taken by nghttp2.
  std::string Outgoing = {};
  std::size_t OutgoingTaken = 0;
  /// Nothing will be added to Outgoing any more.
  bool LocalEnded = false;
  /// nghttp2 stopped asking for data because there was none.
  bool Deferred = false;

  /// Called when Outgoing was written down to nothing.
  std::function<void()> OnDrained = {};
  /// Called for each whole message that arrived.
  std::function<void(std::string)> OnMessage = {};
  /// Called once all of the other end's messages arrived.
  std::function<void()> OnRemoteEnd = {};
  /// Called once when the stream is gone. Zero means both ends finished it.
  std::function<void(std::uint32_t ErrorCode)> OnClose = {};
};

class WireSession : public std::enable_shared_from_this<WireSession> {
public:
  enum class End { Client, Server };

  WireSession(boost::asio::ip::tcp::socket Socket, End Side,
              const WireOptions &Options);
  ~WireSession();
  WireSession(const WireSession &) = delete;
  WireSession &operator=(const WireSession &) = delete;

  /// Called on the server for each stream whose request headers are whole.
  std::function<void(std::shared_ptr<WireStreamState>)> OnNewStream;

  /// Reads and writes until the connection ends; then every stream is closed.
  boost::asio::awaitable<void> run();

  /// Closes the connection; run() then ends.
  void close();

  /// Client: opens a stream for \p Method with one request message.
  std::shared_ptr<WireStreamState> submitCall(std::string_view Method,
                                              std::string_view Message);
  /// Server: answers a stream; its messages follow by queueMessage().
  void submitResponse(WireStreamState &Stream, unsigned Status);

  void queueMessage(WireStreamState &Stream, std::string_view Message);
  void endMessages(WireStreamState &Stream);
  void resetStream(WireStreamState &Stream, std::uint32_t ErrorCode);
  /// Tells the other end that \p Bytes of a stream were taken by their reader.
  void consume(std::int32_t StreamId, std::size_t Bytes);

  [[nodiscard]] bool isOpen() const { return this->Open; }
  /// Bytes of all streams not yet taken by the connection.
  [[nodiscard]] std::size_t queuedBytes() const { return this->Queued; }
  [[nodiscard]] auto executor() { return this->Socket.get_executor(); }

private:
  struct Callbacks;

  boost::asio::awaitable<void> readLoop();
  boost::asio::awaitable<void> writeLoop();
  boost::asio::awaitable<void> pingLoop();
  void wakeWriter();
  void receiveData(std::int32_t StreamId, std::string_view Data);
  void streamClosed(std::int32_t StreamId, std::uint32_t ErrorCode);
  std::shared_ptr<WireStreamState> find(std::int32_t StreamId);

  boost::asio::ip::tcp::socket Socket;
  const End Side;
  const WireOptions Options;
  nghttp2_session *Session = nullptr;
  bool Open = true;
  TimePoint LastHeard;
  std::size_t Queued = 0;
  /// Never expires while the writer has nothing to do; cancelled to wake it.
  boost::asio::steady_timer WriterWake;
  boost::asio::steady_timer PingTimer;
  std::map<std::int32_t, std::shared_ptr<WireStreamState>> Streams;
};

} // namespace carobhinge

#endif // LIBWIRE_WIRESESSION_H
