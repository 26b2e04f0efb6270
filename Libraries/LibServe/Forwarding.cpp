//===- LibServe/Forwarding.cpp - Forwards requests ------------------------===//
///
/// \file
/// Converts between HTTP exchanges and the parts of a forwarded answer.
///
//===----------------------------------------------------------------------===//

#include <LibServe/Forwarding.h>

#include <LibServe/AnswerPartOrder.h>
#include <LibServe/CallContext.h>
#include <LibWire/MessageParser.h>

namespace asio = boost::asio;

namespace carobhinge {

/// An answer that isn't streamed is kept until it is complete.
static constexpr std::size_t MaxBufferedAnswerBytes =
    std::size_t(8) * 1024 * 1024;
/// Added to the deadline, so that a refusal by the other host still arrives.
static constexpr auto ForwardGrace = std::chrono::seconds(1);

static message::ForwardCall toForwardCall(const HttpRequest &Request,
                                          const std::string &RequestIdText,
                                          Duration Remaining) {
  message::ForwardCall Call;
  Call.set_method(Request.Method);
  Call.set_target(Request.Target);
  Call.set_body(Request.Body);
  auto Add = [&Call](std::string_view Name, std::string_view Value) {
    auto *Field = Call.add_headers();
    Field->set_name(std::string(Name));
    Field->set_value(std::string(Value));
  };
  for (std::string_view Name :
       {std::string_view("Content-Type"), header::Workspace, header::Class,
        header::IdempotencyKey})
    if (std::string_view Value = Request.Headers.value(Name); !Value.empty())
      Add(Name, Value);
  Add(header::RequestId, RequestIdText);
  Add(header::DeadlineMs, std::to_string(milliseconds(Remaining)));
  return Call;
}

/// Hop-by-hop fields and the content type, which the next answer sets itself.
static bool isConnectionField(std::string_view Name) {
  return Name == "Content-Length" || Name == "Connection" ||
         Name == "Transfer-Encoding" || Name == "Content-Type" ||
         Name == "Keep-Alive";
}

static HttpResponseHead toResponseHead(const message::ForwardPart::Head &From,
                                       std::string &ContentType) {
  HttpResponseHead Head{.Status = From.status()};
  for (const auto &Field : From.headers()) {
    if (Field.name() == "Content-Type")
      ContentType = Field.value();
    else if (!isConnectionField(Field.name()))
      Head.Headers.add(Field.name(), Field.value());
  }
  return Head;
}

namespace {

/// Rebuilds the answer at the caller from its parts.
class AnswerRelay {
public:
  AnswerRelay(HttpExchange &Exchange, HeldBytes &Held)
      : Exchange(Exchange), Held(Held) {}

  /// Returns false if this process can't keep the answer, or if \p Part is out
  /// of order.
  asio::awaitable<bool> handlePart(message::ForwardPart Part) {
    if (!this->Order.accept(Part))
      co_return false;
    if (Part.has_head()) {
      this->Streamed = Part.head().streamed();
      this->BufferedAnswer.Status = Part.head().status();
      HttpResponseHead Head =
          toResponseHead(Part.head(), this->BufferedAnswer.ContentType);
      this->BufferedAnswer.Headers = Head.Headers;
      if (!this->Streamed)
        co_return true;
      this->Started = true;
      Head.Headers.add("Content-Type", this->BufferedAnswer.ContentType);
      co_await this->Exchange.startStream(std::move(Head));
    } else if (Part.has_end()) {
      if (!this->Held.change(HeldWork::CompleteAnswer))
        co_return false;
      co_await this->finish();
    } else if (this->Streamed) {
      co_await this->Exchange.writeChunk(std::move(*Part.mutable_chunk()));
    } else {
      std::size_t Bytes =
          this->BufferedAnswer.Body.size() + Part.chunk().size();
      if (Bytes > MaxBufferedAnswerBytes || !this->Held.resize(Bytes))
        co_return false;
      this->BufferedAnswer.Body += Part.chunk();
    }
    co_return true;
  }

  [[nodiscard]] bool finished() const { return this->Finished; }
  [[nodiscard]] bool started() const { return this->Started; }

private:
  asio::awaitable<void> finish() {
    this->Finished = true;
    if (this->Streamed)
      co_return co_await this->Exchange.finishStream();
    this->Exchange.setResponsePlace(this->Held);
    co_await this->Exchange.respond(std::move(this->BufferedAnswer));
  }

  HttpExchange &Exchange;
  HeldBytes &Held;
  bool Streamed = false;
  bool Started = false;
  bool Finished = false;
  AnswerPartOrder Order;
  HttpResponse BufferedAnswer;
};

/// Presents a forwarded request to the code that serves callers.
class ForwardedExchange : public HttpExchange {
public:
  ForwardedExchange(WireExchange &Call, HttpRequest Request)
      : Call(Call), Request(std::move(Request)) {}

  [[nodiscard]] const HttpRequest &request() const override {
    return this->Request;
  }
  asio::awaitable<void> respond(HttpResponse Response) override {
    HttpResponseHead Head{.Status = Response.Status,
                          .Headers = Response.Headers};
    Head.Headers.add("Content-Type", Response.ContentType);
    co_await this->sendHead(Head, false);
    co_await this->writeChunk(std::move(Response.Body));
    co_await this->finishStream();
  }
  asio::awaitable<void> startStream(HttpResponseHead Head) override {
    return this->sendHead(std::move(Head), true);
  }
  asio::awaitable<void> writeChunk(std::string Data) override {
    if (Data.empty())
      co_return;
    message::ForwardPart Part;
    Part.set_chunk(std::move(Data));
    co_await this->Call.send(Part.SerializeAsString());
  }
  asio::awaitable<void> finishStream() override {
    message::ForwardPart Part;
    Part.mutable_end();
    co_await this->Call.send(Part.SerializeAsString());
  }
  void onCallerDisconnected(std::function<void()> Callback) override {
    this->Call.onCallerDisconnected(std::move(Callback));
  }
  [[nodiscard]] bool callerDisconnected() const override {
    return this->Call.callerDisconnected();
  }

private:
  asio::awaitable<void> sendHead(HttpResponseHead Head, bool Streamed) {
    message::ForwardPart Part;
    Part.mutable_head()->set_status(Head.Status);
    Part.mutable_head()->set_streamed(Streamed);
    for (const HttpHeader &Field : Head.Headers.fields()) {
      auto *Copy = Part.mutable_head()->add_headers();
      Copy->set_name(Field.Name);
      Copy->set_value(Field.Value);
    }
    co_await this->Call.send(Part.SerializeAsString());
  }

  WireExchange &Call;
  HttpRequest Request;
};

} // namespace

asio::awaitable<ForwardResult>
forwardRequest(HttpExchange &Exchange, Peers &Links, HostName To,
               TimePoint Deadline, std::string RequestIdText,
               const SharedByteBudget &Budget, HeldWork Work) {
  WireLink *Link = Links.link(To);
  if (!Link)
    co_return ForwardResult::NotSent;
  auto Request = toForwardCall(Exchange.request(), RequestIdText,
                               Deadline - monotonicNow());
  auto Call = Link->start("serve.forward", Request.SerializeAsString());
  Exchange.onCallerDisconnected([Call] { Call->cancel(); });
  HeldBytes Held(Budget, Work, [Call] { Call->cancel(); });
  AnswerRelay Relay(Exchange, Held);
  while (auto Message =
             co_await Call->next(Deadline + ForwardGrace - monotonicNow())) {
    message::ForwardPart Part;
    if (!parseMessage(Part, *Message))
      break;
    if (!co_await Relay.handlePart(std::move(Part)))
      break;
  }
  Exchange.onCallerDisconnected(nullptr);
  if (Relay.finished())
    co_return ForwardResult::Complete;
  Call->cancel();
  if (Relay.started())
    co_return ForwardResult::BrokenOff;
  co_return Call->outcome() == WireCallOutcome::NotSent ? ForwardResult::NotSent
                                                        : ForwardResult::Lost;
}

WireHandler forwardHandler(HttpHandler Handler) {
  return [Handler =
              std::move(Handler)](WireExchange &Call) -> asio::awaitable<void> {
    message::ForwardCall Forwarded;
    if (!parseMessage(Forwarded, Call.message()))
      throw std::runtime_error("a forwarded request cannot be decoded");
    HttpRequest Request{.Method = Forwarded.method(),
                        .Target = Forwarded.target(),
                        .Body = std::move(*Forwarded.mutable_body())};
    for (const auto &Field : Forwarded.headers())
      Request.Headers.add(Field.name(), Field.value());
    ForwardedExchange Exchange(Call, std::move(Request));
    co_await Handler(Exchange);
  };
}

} // namespace carobhinge
