//===- Tests/LibEntry/RecordingCaller.h - A caller in a test --------------===//
///
/// \file
/// A caller of one session, without a network: keeps what it is answered.
///
//===----------------------------------------------------------------------===//

#ifndef TESTS_LIBENTRY_RECORDINGCALLER_H
#define TESTS_LIBENTRY_RECORDINGCALLER_H

#include <LibHTTP/HttpServer.h>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

namespace carobhinge {

class RecordingCaller : public HttpExchange {
public:
  const HttpRequest &request() const override { return this->Request; }
  boost::asio::awaitable<void> respond(HttpResponse Response) override {
    this->Status = Response.Status;
    co_return;
  }
  boost::asio::awaitable<void> startStream(HttpResponseHead) override {
    ++this->Heads;
    co_return;
  }
  boost::asio::awaitable<void> writeChunk(std::string Data) override {
    this->Body += Data;
    co_return;
  }
  boost::asio::awaitable<void> finishStream() override {
    this->IsFinished = true;
    co_return;
  }
  void onCallerDisconnected(std::function<void()> Callback) override {
    this->OnDisconnected = std::move(Callback);
  }
  bool callerDisconnected() const override { return this->IsGone; }
  void leave() {
    this->IsGone = true;
    this->OnDisconnected();
  }

  HttpRequest Request{.Method = "POST", .Target = "/a/b"};
  std::function<void()> OnDisconnected;
  unsigned Status = 0;
  int Heads = 0;
  std::string Body;
  bool IsFinished = false;
  bool IsGone = false;
};

} // namespace carobhinge

#endif // TESTS_LIBENTRY_RECORDINGCALLER_H
