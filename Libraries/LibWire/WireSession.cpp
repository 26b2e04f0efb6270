//===- LibWire/WireSession.cpp - One HTTP/2 session on one connection -----===//
///
/// \file
/// Connects nghttp2's callbacks to Asio. nghttp2 holds the protocol state; this
/// class transfers bytes and messages.
///
//===----------------------------------------------------------------------===//

#include <LibTelemetry/Supervision.h>
#include <LibWire/WireSession.h>

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cassert>
#include <cstring>

namespace asio = boost::asio;

namespace carobhinge {

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
static constexpr std::size_t ReadBufferBytes = 64 * 1024;
static constexpr std::size_t WriteBatchBytes = 256 * 1024;
/// What nghttp2 keeps for a frame that waits to be sent.
static constexpr std::size_t QueuedFrameBytes = 256;

std::size_t wireConnectionLimit(std::size_t MemoryBytes) {
  constexpr std::size_t MinConnections = 256;
  return std::clamp(MemoryBytes / MemoryPerWireConnection, MinConnections,
                    MaxWireConnections);
}

/// nghttp2's callbacks. Their user data is the WireSession.
struct WireSession::Callbacks {
  static WireSession &self(void *UserData) {
    return *static_cast<WireSession *>(UserData);
  }

  static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *Frame,
                            void *UserData) {
    WireSession &Self = self(UserData);
    if (Frame->hd.type != NGHTTP2_HEADERS ||
        Frame->headers.cat != NGHTTP2_HCAT_REQUEST)
      return 0;
    std::int32_t Id = Frame->hd.stream_id;
    Self.Streams[Id] =
        std::make_shared<WireStreamState>(Self.Options.MessageBytes, Id);
    return 0;
  }

  static int onHeader(nghttp2_session *, const nghttp2_frame *Frame,
                      const std::uint8_t *Name, std::size_t NameLength,
                      const std::uint8_t *Value, std::size_t ValueLength,
                      std::uint8_t, void *UserData) {
    WireSession &Self = self(UserData);
    auto Stream = Self.find(Frame->hd.stream_id);
    if (!Stream)
      return 0;
    Stream->HeaderBytes += NameLength + ValueLength;
    if (Stream->HeaderBytes > Self.Options.HeaderBytes) {
      Stream->Rejected = true;
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    Stream->Headers[std::string(reinterpret_cast<const char *>(Name),
                                NameLength)] =
        std::string(reinterpret_cast<const char *>(Value), ValueLength);
    return 0;
  }

  static int onFrame(nghttp2_session *, const nghttp2_frame *Frame,
                     void *UserData) {
    WireSession &Self = self(UserData);
    auto Stream = Self.find(Frame->hd.stream_id);
    if (!Stream)
      return 0;
    if (Stream->Rejected)
      return 0;
    bool RequestHeaders = Frame->hd.type == NGHTTP2_HEADERS &&
                          Frame->headers.cat == NGHTTP2_HCAT_REQUEST;
    if (RequestHeaders && Self.OnNewStream)
      Self.OnNewStream(Stream);
    bool CanEndStream =
        Frame->hd.type == NGHTTP2_HEADERS || Frame->hd.type == NGHTTP2_DATA;
    if (CanEndStream && (Frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      Stream->RemoteEnded = true;
      if (auto Notify = std::exchange(Stream->OnRemoteEnd, nullptr))
        Notify();
    }
    return 0;
  }

  static int onData(nghttp2_session *, std::uint8_t, std::int32_t StreamId,
                    const std::uint8_t *Data, std::size_t Length,
                    void *UserData) {
    self(UserData).handleData(StreamId,
                              {reinterpret_cast<const char *>(Data), Length});
    return 0;
  }

  static int onStreamClose(nghttp2_session *, std::int32_t StreamId,
                           std::uint32_t ErrorCode, void *UserData) {
    self(UserData).handleStreamClosed(StreamId, ErrorCode);
    return 0;
  }

  /// Copies queued bytes of a stream to nghttp2.
  static ssize_t readOutgoing(nghttp2_session *, std::int32_t StreamId,
                              std::uint8_t *Buffer, std::size_t Length,
                              std::uint32_t *Flags, nghttp2_data_source *,
                              void *UserData) {
    WireSession &Self = self(UserData);
    auto Stream = Self.find(StreamId);
    if (!Stream)
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    std::size_t Ready = Stream->Outgoing.size() - Stream->OutgoingOffset;
    std::size_t Copied = std::min(Ready, Length);
    std::memcpy(Buffer, Stream->Outgoing.data() + Stream->OutgoingOffset,
                Copied);
    Stream->OutgoingOffset += Copied;
    Self.QueuedByteCount -= Copied;
    if (Stream->OutgoingOffset == Stream->Outgoing.size()) {
      // A stream that waits keeps no storage.
      Stream->Outgoing.clear();
      Stream->Outgoing.shrink_to_fit();
      Stream->OutgoingOffset = 0;
      if (Stream->LocalEnded)
        *Flags |= NGHTTP2_DATA_FLAG_EOF;
      else if (Stream->OnDrained)
        Stream->OnDrained();
    }
    if (Copied == 0 && !Stream->LocalEnded) {
      Stream->Deferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    return static_cast<ssize_t>(Copied);
  }
};

static nghttp2_nv headerField(std::string_view Name, std::string_view Value) {
  return {
      .name = reinterpret_cast<std::uint8_t *>(const_cast<char *>(Name.data())),
      .value =
          reinterpret_cast<std::uint8_t *>(const_cast<char *>(Value.data())),
      .namelen = Name.size(),
      .valuelen = Value.size(),
      .flags = NGHTTP2_NV_FLAG_NONE};
}

WireSession::WireSession(asio::ip::tcp::socket Socket, Role LocalRole,
                         const WireOptions &Options)
    : Socket(std::move(Socket)), LocalRole(LocalRole), Options(Options),
      LastReceived(monotonicNow()), WriterSignal(this->Socket.get_executor()),
      PingTimer(this->Socket.get_executor()) {
  nghttp2_session_callbacks *Table = nullptr;
  nghttp2_session_callbacks_new(&Table);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
      Table, Callbacks::onBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(Table, Callbacks::onHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(Table,
                                                       Callbacks::onFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Table,
                                                            Callbacks::onData);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      Table, Callbacks::onStreamClose);
  nghttp2_option *Option = nullptr;
  nghttp2_option_new(&Option);
  // Windows reopen only when readers consume the bytes, so that a slow reader
  // slows its writer instead of filling memory.
  nghttp2_option_set_no_auto_window_update(Option, 1);
  if (LocalRole == Role::Client)
    nghttp2_session_client_new2(&this->Session, Table, this, Option);
  else
    nghttp2_session_server_new2(&this->Session, Table, this, Option);
  nghttp2_option_del(Option);
  nghttp2_session_callbacks_del(Table);
  boost::system::error_code Ignored;
  this->Peer = this->Socket.remote_endpoint(Ignored).address().to_string();
  std::array<nghttp2_settings_entry, 2> Settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, Options.StreamsPerConnection},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, Options.StreamWindowBytes},
  }};
  nghttp2_submit_settings(this->Session, NGHTTP2_FLAG_NONE, Settings.data(),
                          Settings.size());
  nghttp2_session_set_local_window_size(
      this->Session, NGHTTP2_FLAG_NONE, 0,
      static_cast<std::int32_t>(Options.ConnectionWindowBytes));
}

WireSession::~WireSession() { nghttp2_session_del(this->Session); }

std::shared_ptr<WireStreamState> WireSession::find(std::int32_t StreamId) {
  auto Found = this->Streams.find(StreamId);
  return Found == this->Streams.end() ? nullptr : Found->second;
}

asio::awaitable<void> WireSession::run() {
  auto Self = this->shared_from_this();
  // A call in progress holds its stream and this session, and the stream's
  // handlers hold the call. The end of the process destroys this coroutine
  // before the streams are closed.
  auto DropHandlers = [](WireSession *Session) { Session->dropHandlers(); };
  std::unique_ptr<WireSession, decltype(DropHandlers)> Guard(this,
                                                             DropHandlers);
  auto Spawn = [&](auto Loop) {
    asio::co_spawn(
        this->Socket.get_executor(),
        [Self, Loop]() -> asio::awaitable<void> {
          co_await (Self.get()->*Loop)();
        },
        [Self](const std::exception_ptr &Failure) {
          if (Failure)
            logTaskFailure("connection between hosts", "closed", Failure);
          Self->close();
        });
  };
  Spawn(&WireSession::writeLoop);
  Spawn(&WireSession::pingLoop);
  co_await this->readLoop();
  this->close();
  auto Remaining = std::exchange(this->Streams, {});
  for (auto &[Id, Stream] : Remaining)
    if (auto Notify = std::exchange(Stream->OnClose, nullptr))
      Notify(NGHTTP2_CANCEL);
  this->QueuedHeld.reset();
}

void WireSession::dropHandlers() {
  auto Remaining = std::exchange(this->Streams, {});
  for (auto &[Id, Stream] : Remaining) {
    // The handlers may hold the last reference to what holds the stream.
    auto Drained = std::exchange(Stream->OnDrained, nullptr);
    auto Message = std::exchange(Stream->OnMessage, nullptr);
    auto RemoteEnd = std::exchange(Stream->OnRemoteEnd, nullptr);
    auto Close = std::exchange(Stream->OnClose, nullptr);
  }
}

void WireSession::close() {
  this->Open = false;
  boost::system::error_code Ignored;
  this->Socket.close(Ignored);
  this->WriterSignal.cancel();
  this->PingTimer.cancel();
}

asio::awaitable<void> WireSession::readLoop() {
  boost::system::error_code Ignored;
  this->Socket.non_blocking(true, Ignored);
  while (this->Open) {
    auto [Error] = co_await this->Socket.async_wait(
        asio::ip::tcp::socket::wait_read, UseTuple);
    if (Error || !this->readReady())
      co_return;
  }
}

bool WireSession::readReady() {
  // On the stack, so that a connection keeps no buffer while it waits.
  std::array<std::uint8_t, ReadBufferBytes> Buffer;
  boost::system::error_code Error;
  std::size_t Count = this->Socket.read_some(asio::buffer(Buffer), Error);
  if (Error == asio::error::would_block)
    return true;
  if (Error)
    return false;
  this->LastReceived = monotonicNow();
  ssize_t Consumed =
      nghttp2_session_mem_recv(this->Session, Buffer.data(), Count);
  if (Consumed < 0)
    return false;
  this->holdQueued();
  this->wakeWriter();
  return true;
}

void WireSession::holdQueued() {
  if (this->LocalRole != Role::Server || !this->Open)
    return;
  std::size_t Bytes =
      this->QueuedByteCount + this->SendingByteCount +
      QueuedFrameBytes * nghttp2_session_get_outbound_queue_size(this->Session);
  bool HasPlace = Bytes <= this->Options.QueuedBytes;
  if (HasPlace && this->Options.Budget != nullptr) {
    if (!this->QueuedHeld) {
      auto OnGivenUp = [WeakSelf = this->weak_from_this(),
                        Executor = this->executor()] {
        asio::post(Executor, [WeakSelf] {
          if (auto Self = WeakSelf.lock())
            Self->closeAtLimit("peer-queue-bytes");
        });
      };
      // What hosts ask each other is asked again.
      this->QueuedHeld.emplace(*this->Options.Budget,
                               HeldWork::RepeatableAnswer,
                               std::move(OnGivenUp));
    }
    HasPlace = this->QueuedHeld->resize(Bytes);
  }
  if (!HasPlace)
    this->closeAtLimit("peer-queue-bytes");
}

void WireSession::closeAtLimit(std::string_view Limit) {
  if (!this->Open)
    return;
  if (this->Options.OnLimitReached)
    this->Options.OnLimitReached(Limit, this->Peer);
  this->close();
}

asio::awaitable<void> WireSession::writeLoop() {
  std::string Batch;
  while (this->Open) {
    Batch.clear();
    while (Batch.size() < WriteBatchBytes) {
      const std::uint8_t *Data = nullptr;
      ssize_t Length = nghttp2_session_mem_send(this->Session, &Data);
      if (Length < 0)
        co_return;
      if (Length == 0)
        break;
      Batch.append(reinterpret_cast<const char *>(Data),
                   static_cast<std::size_t>(Length));
    }
    this->SendingByteCount = Batch.size();
    this->holdQueued();
    if (!Batch.empty()) {
      auto [Error, Count] = co_await asio::async_write(
          this->Socket, asio::buffer(Batch), UseTuple);
      if (Error)
        co_return;
      continue;
    }
    if (nghttp2_session_want_read(this->Session) == 0 &&
        nghttp2_session_want_write(this->Session) == 0)
      co_return;
    Batch.shrink_to_fit();
    this->WriterSignal.expires_at(asio::steady_timer::time_point::max());
    co_await this->WriterSignal.async_wait(UseTuple);
  }
}

void WireSession::wakeWriter() { this->WriterSignal.cancel(); }

asio::awaitable<void> WireSession::pingLoop() {
  while (this->Open) {
    this->PingTimer.expires_after(this->Options.PingInterval);
    co_await this->PingTimer.async_wait(UseTuple);
    if (monotonicNow() - this->LastReceived > this->Options.PingTimeout)
      co_return;
    if (this->LocalRole == Role::Server)
      this->rejectOverdueStreams();
    nghttp2_submit_ping(this->Session, NGHTTP2_FLAG_NONE, nullptr);
    this->wakeWriter();
  }
}

void WireSession::handleData(std::int32_t StreamId, std::string_view Data) {
  auto Stream = this->find(StreamId);
  // The connection's window reopens at once. The stream's window reopens when
  // its reader consumes the messages.
  nghttp2_session_consume_connection(this->Session, Data.size());
  if (!Stream || Stream->Rejected)
    return;
  try {
    Stream->Incoming.append(Data);
    while (auto Message = Stream->Incoming.next())
      if (Stream->OnMessage)
        Stream->OnMessage(std::move(*Message));
    this->holdPending(*Stream);
  } catch (const MessageTooLong &) {
    this->reject(*Stream);
  }
}

void WireSession::holdPending(WireStreamState &Stream) {
  std::size_t Pending = Stream.Incoming.pendingBytes();
  if (Pending > this->Options.StreamWindowBytes / 2 &&
      Pending > Stream.PrepaidBytes) {
    std::size_t Bytes = Pending - Stream.PrepaidBytes;
    Stream.PrepaidBytes = Pending;
    nghttp2_session_consume_stream(this->Session, Stream.Id, Bytes);
  }
  if (this->Options.Budget == nullptr)
    return;
  if (Pending == 0)
    return Stream.Held.reset();
  if (!Stream.Held) {
    auto OnGivenUp = [WeakSelf = this->weak_from_this(), Id = Stream.Id,
                      Executor = this->executor()] {
      asio::post(Executor, [WeakSelf, Id] {
        auto Self = WeakSelf.lock();
        auto GivenUp = Self ? Self->find(Id) : nullptr;
        if (GivenUp)
          Self->reject(*GivenUp);
      });
    };
    // What hosts send each other is sent again.
    Stream.Held.emplace(*this->Options.Budget, HeldWork::RepeatableAnswer,
                        std::move(OnGivenUp));
  }
  if (!Stream.Held->resize(Pending))
    this->reject(Stream);
}

void WireSession::reject(WireStreamState &Stream) {
  Stream.Rejected = true;
  Stream.Incoming = MessageAssembler(this->Options.MessageBytes);
  Stream.Held.reset();
  this->resetStream(Stream, NGHTTP2_ENHANCE_YOUR_CALM);
}

void WireSession::rejectOverdueStreams() {
  TimePoint StartedBefore = monotonicNow() - this->Options.RequestTimeout;
  for (auto &[Id, Stream] : this->Streams)
    if (!Stream->RemoteEnded && !Stream->Rejected &&
        Stream->StartedAt < StartedBefore)
      this->reject(*Stream);
}

void WireSession::consume(std::int32_t StreamId, std::size_t Bytes) {
  if (!this->Open)
    return;
  auto Stream = this->find(StreamId);
  if (Stream) {
    std::size_t Prepaid = std::min(Stream->PrepaidBytes, Bytes);
    Stream->PrepaidBytes -= Prepaid;
    Bytes -= Prepaid;
  }
  nghttp2_session_consume_stream(this->Session, StreamId, Bytes);
  this->wakeWriter();
}

void WireSession::handleStreamClosed(std::int32_t StreamId,
                                     std::uint32_t ErrorCode) {
  auto Stream = this->find(StreamId);
  if (!Stream)
    return;
  this->Streams.erase(StreamId);
  this->QueuedByteCount -= Stream->Outgoing.size() - Stream->OutgoingOffset;
  Stream->Outgoing.clear();
  Stream->OutgoingOffset = 0;
  // A stream without end flag or with a truncated message is incomplete even if
  // its error code is zero.
  if (!Stream->RemoteEnded && ErrorCode == NGHTTP2_NO_ERROR)
    ErrorCode = NGHTTP2_PROTOCOL_ERROR;
  if (!Stream->Incoming.empty() && ErrorCode == NGHTTP2_NO_ERROR)
    ErrorCode = NGHTTP2_PROTOCOL_ERROR;
  if (auto Notify = std::exchange(Stream->OnClose, nullptr))
    Notify(ErrorCode);
}

std::shared_ptr<WireStreamState>
WireSession::submitCall(std::string_view Method, std::string_view Message) {
  assert(this->LocalRole == Role::Client && "Only clients open streams");
  std::string Path = "/" + std::string(Method);
  std::array Fields = {
      headerField(":method", "POST"),
      headerField(":scheme", "http"),
      headerField(":authority", this->Options.Cluster),
      headerField(":path", Path),
      headerField("carobhinge-cluster", this->Options.Cluster),
      headerField("carobhinge-host", this->Options.Self),
  };
  nghttp2_data_provider Provider = {.source = {.ptr = nullptr},
                                    .read_callback = Callbacks::readOutgoing};
  std::int32_t Id = nghttp2_submit_request(
      this->Session, nullptr, Fields.data(), Fields.size(), &Provider, nullptr);
  if (Id < 0)
    return nullptr;
  auto Stream =
      std::make_shared<WireStreamState>(this->Options.MessageBytes, Id);
  this->Streams[Id] = Stream;
  this->queueMessage(*Stream, Message);
  this->endMessages(*Stream);
  return Stream;
}

void WireSession::submitResponse(WireStreamState &Stream, unsigned Status) {
  std::string Text = std::to_string(Status);
  std::array Fields = {headerField(":status", Text)};
  nghttp2_data_provider Provider = {.source = {.ptr = nullptr},
                                    .read_callback = Callbacks::readOutgoing};
  nghttp2_submit_response(this->Session, Stream.Id, Fields.data(),
                          Fields.size(), &Provider);
  this->wakeWriter();
}

void WireSession::queueMessage(WireStreamState &Stream,
                               std::string_view Message) {
  if (!this->Open)
    return;
  std::string Framed = frameMessage(Message);
  this->QueuedByteCount += Framed.size();
  Stream.Outgoing += Framed;
  if (std::exchange(Stream.Deferred, false))
    nghttp2_session_resume_data(this->Session, Stream.Id);
  this->holdQueued();
  this->wakeWriter();
}

void WireSession::endMessages(WireStreamState &Stream) {
  Stream.LocalEnded = true;
  if (std::exchange(Stream.Deferred, false))
    nghttp2_session_resume_data(this->Session, Stream.Id);
  this->wakeWriter();
}

void WireSession::resetStream(WireStreamState &Stream,
                              std::uint32_t ErrorCode) {
  if (!this->Open)
    return;
  nghttp2_submit_rst_stream(this->Session, NGHTTP2_FLAG_NONE, Stream.Id,
                            ErrorCode);
  this->wakeWriter();
}

} // namespace carobhinge
