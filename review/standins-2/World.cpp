//===- review/standins-2/World.cpp - Processes, servers and clients -------===//
///
/// \file
/// Starts the product's control and entry processes on loopback addresses, in
/// front of stand-ins for plain servers, an operator and clients, and plays
/// one case. Usage: World CASE RECORD TROUBLE, where CASE is first-start, cold
/// or cold-without-core
///
/// Each process and each server has an IP address of its own in 127/8. All
/// stand-ins run on one thread; times are those of the system's steady clock.
///
//===----------------------------------------------------------------------===//

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

static constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
static constexpr unsigned ControlPort = 8229;
static constexpr unsigned CallerPort = 8227;
static constexpr unsigned ReadinessPort = 8220;
static constexpr unsigned PeerPort = 7340;
static constexpr unsigned MetricsPort = 7355;
static constexpr unsigned ServerPort = 8080;
static constexpr std::size_t Zones = 3;

// What the pages set for this deployment.
static constexpr milliseconds HeartbeatInterval(1200);
static constexpr milliseconds ColdStart(3000);
static constexpr double ColdPerSecond = 36;
static constexpr double ColdOverage = 1.5;
static constexpr double ColdSlack = 5;
/// "Crashes at a rate well above that": twice of what a cold server tolerates.
static constexpr std::size_t CrashArrivals = 72;
static constexpr milliseconds WorkTime(60);

static milliseconds since(Clock::time_point Start) {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - Start);
}

static std::string zoneName(std::size_t Index) {
  return std::string("zone-") + static_cast<char>('a' + Index % Zones);
}

namespace {

/// The file record.txt.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path) {}

  void line(const std::string &Text) {
    this->File << since(this->Start).count() << " ms  " << Text << std::endl;
  }
  [[nodiscard]] Clock::time_point start() const { return this->Start; }

private:
  std::ofstream File;
  Clock::time_point Start = Clock::now();
};

/// The product's processes; all of them are killed at the end.
class Processes {
public:
  explicit Processes(std::string Folder) : Folder(std::move(Folder)) {}
  Processes(const Processes &) = delete;
  Processes &operator=(const Processes &) = delete;
  ~Processes() {
    for (const auto &[Name, Id] : this->Ids)
      kill(Id, SIGKILL);
    for (const auto &[Name, Id] : this->Ids)
      waitpid(Id, nullptr, 0);
  }

  /// Starts `target/carobhinge ROLE` with \p Settings.
  void start(const std::string &Role, const std::string &Name,
             const std::string &Settings) {
    std::string Path = this->Folder + "/" + Name + ".json";
    std::ofstream(Path) << Settings;
    std::string Log = this->Folder + "/" + Name + ".log";
    std::string Program = "target/carobhinge";
    std::string Word = Role;
    std::string Variable = "CAROBHINGE_CONFIG=" + Path;
    std::vector<char *> Words = {Program.data(), Word.data(), nullptr};
    std::vector<char *> Variables = {Variable.data(), nullptr};
    posix_spawn_file_actions_t Actions;
    posix_spawn_file_actions_init(&Actions);
    posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, Log.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0640);
    posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t Id = 0;
    int Failure = posix_spawn(&Id, Program.c_str(), &Actions, nullptr,
                              Words.data(), Variables.data());
    posix_spawn_file_actions_destroy(&Actions);
    if (Failure != 0)
      throw std::runtime_error("cannot start target/carobhinge");
    this->Ids[Name] = Id;
  }
  /// Sends the process \p Name a SIGKILL and waits until it has ended.
  void killNow(const std::string &Name) {
    pid_t Id = this->Ids.at(Name);
    kill(Id, SIGKILL);
    waitpid(Id, nullptr, 0);
    this->Ids.erase(Name);
  }

private:
  std::string Folder;
  std::map<std::string, pid_t> Ids;
};

} // namespace

/// One request on a connection of its own. \returns nothing if there is no
/// whole answer within \p Limit.
static asio::awaitable<std::optional<Response>>
fetch(std::string Ip, unsigned Port, Request Message, milliseconds Limit) {
  beast::tcp_stream Stream(co_await asio::this_coro::executor);
  Stream.expires_after(Limit);
  tcp::endpoint Peer(asio::ip::make_address(Ip),
                     static_cast<std::uint16_t>(Port));
  auto [ConnectError] = co_await Stream.async_connect(Peer, UseTuple);
  if (ConnectError)
    co_return std::nullopt;
  Message.version(11);
  if (Message.count(http::field::host) == 0)
    Message.set(http::field::host, Ip);
  Message.keep_alive(false);
  Message.prepare_payload();
  auto [WriteError, Written] =
      co_await http::async_write(Stream, Message, UseTuple);
  if (WriteError)
    co_return std::nullopt;
  beast::flat_buffer Buffer;
  Response Answer;
  auto [ReadError, Read] =
      co_await http::async_read(Stream, Buffer, Answer, UseTuple);
  if (ReadError)
    co_return std::nullopt;
  co_return Answer;
}

static asio::awaitable<void> sleepFor(Clock::duration Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(Time);
  co_await Timer.async_wait(UseTuple);
}

namespace {

/// A request as the server got it.
struct Arrival {
  Clock::time_point At;
  std::string Id;
  bool IsCold = false;
};

/// A plain server: runs each request for a fixed time, says in its heartbeats
/// how long it stays cold, and crashes if it gets far too much while cold.
class Server {
public:
  Server(asio::io_context &Context, Record &Log, std::string Ip, std::string Id,
         std::string Zone, std::vector<std::string> Controls)
      : Context(Context), Log(Log), Ip(std::move(Ip)), Id(std::move(Id)),
        Zone(std::move(Zone)), Controls(std::move(Controls)), Acceptor(Context),
        Changed(Context) {
    tcp::endpoint Own(asio::ip::make_address(this->Ip), ServerPort);
    this->Acceptor.open(Own.protocol());
    // The product's processes must not keep the port open.
    fcntl(this->Acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
    this->Acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->Acceptor.bind(Own);
    this->Acceptor.listen();
  }

  void start() {
    asio::co_spawn(this->Context, this->acceptLoop(), asio::detached);
    asio::co_spawn(this->Context, this->heartbeatLoop(), asio::detached);
  }

  /// The server turns cold, and says so at once.
  void turnCold() {
    this->ColdUntil = Clock::now() + ColdStart;
    this->Log.line(this->Id + " turns cold for " +
                   std::to_string(ColdStart.count()) + " ms");
    this->Changed.cancel();
  }

  [[nodiscard]] const std::vector<Arrival> &arrivals() const {
    return this->Arrivals;
  }
  [[nodiscard]] const std::string &id() const { return this->Id; }
  /// Attempt ids of the requests that a crash cut off.
  [[nodiscard]] const std::set<std::string> &cutOff() const {
    return this->CutOff;
  }

private:
  [[nodiscard]] bool isCold() const { return Clock::now() < this->ColdUntil; }

  asio::awaitable<void> heartbeatLoop() {
    std::size_t Next = 0;
    while (!this->Crashed) {
      auto Left = std::max<std::int64_t>(
          std::chrono::ceil<milliseconds>(this->ColdUntil - Clock::now())
              .count(),
          0);
      Request Beat(http::verb::put, "/instances/" + this->Id, 11);
      Beat.set(http::field::content_type, "application/json");
      Beat.body() =
          R"({"service":"desk","addr":")" + this->Ip + ":" +
          std::to_string(ServerPort) + R"(","zone":")" + this->Zone +
          R"(","version":"v1","slots":26,"state":"ready","cold_left_ms":)" +
          std::to_string(Left) + R"(,"born":)" + std::to_string(this->Born) +
          R"(,"seq":)" + std::to_string(++this->Sequence) + "}";
      for (std::size_t Tries = 0; Tries < 2 * Zones; ++Tries) {
        auto Answer =
            co_await fetch(this->Controls[Next % this->Controls.size()],
                           ControlPort, Beat, milliseconds(1000));
        bool IsTaken = Answer && Answer->result_int() / 100 == 2;
        if (Left > 0 || IsTaken != this->WasTaken)
          this->Log.line(this->Id + " heartbeat cold_left_ms " +
                         std::to_string(Left) +
                         (IsTaken ? " acknowledged" : " not acknowledged"));
        this->WasTaken = IsTaken;
        if (IsTaken)
          break;
        ++Next;
      }
      this->Changed.expires_after(HeartbeatInterval);
      co_await this->Changed.async_wait(UseTuple);
    }
  }

  asio::awaitable<void> acceptLoop() {
    while (!this->Crashed) {
      auto [Error, Socket] = co_await this->Acceptor.async_accept(UseTuple);
      if (Error)
        co_return;
      auto Stream = std::make_shared<beast::tcp_stream>(std::move(Socket));
      asio::co_spawn(this->Context, this->serve(Stream), asio::detached);
    }
  }

  asio::awaitable<void> serve(std::shared_ptr<beast::tcp_stream> Stream) {
    this->Open.insert(Stream);
    beast::flat_buffer Buffer;
    while (!this->Crashed) {
      Request Message;
      auto [Error, Count] =
          co_await http::async_read(*Stream, Buffer, Message, UseTuple);
      if (Error)
        break;
      Response Answer = co_await this->run(Message);
      if (this->Crashed)
        break;
      Answer.version(11);
      Answer.keep_alive(Message.keep_alive());
      Answer.prepare_payload();
      auto [WriteError, Written] =
          co_await http::async_write(*Stream, Answer, UseTuple);
      if (WriteError || !Answer.keep_alive())
        break;
    }
    this->Open.erase(Stream);
    beast::error_code Ignored;
    Stream->socket().close(Ignored);
  }

  asio::awaitable<Response> run(const Request &Message) {
    Response Answer(http::status::ok, 11);
    std::string Attempt(Message["X-Carobhinge-Attempt-Id"]);
    Answer.set("X-Carobhinge-Attempt-Id", Attempt);
    if (Message["X-Carobhinge-Expect-Instance"] != this->Id) {
      Answer.result(421);
      Answer.set("X-Carobhinge-Not-Executed", "1");
      co_return Answer;
    }
    Clock::time_point Now = Clock::now();
    this->Arrivals.push_back(
        {.At = Now, .Id = Attempt, .IsCold = this->isCold()});
    this->Running.insert(Attempt);
    this->crashIfOverrun(Now);
    co_await sleepFor(WorkTime);
    if (!this->Crashed)
      this->Running.erase(Attempt);
    Answer.set("X-Carobhinge-Server-Stamp", this->Id + "." + Attempt);
    Answer.body() = "done " + Attempt;
    co_return Answer;
  }

  void crashIfOverrun(Clock::time_point Now) {
    while (!this->ColdSecond.empty() &&
           Now - this->ColdSecond.front() > std::chrono::seconds(1))
      this->ColdSecond.pop_front();
    if (!this->isCold())
      return;
    this->ColdSecond.push_back(Now);
    if (this->ColdSecond.size() < CrashArrivals)
      return;
    this->Log.line(this->Id +
                   " crashes: " + std::to_string(this->ColdSecond.size()) +
                   " requests in a second while cold");
    this->Crashed = true;
    this->CutOff = this->Running;
    beast::error_code Ignored;
    this->Acceptor.close(Ignored);
    this->Changed.cancel();
    for (const auto &Each : this->Open) {
      Each->socket().set_option(asio::socket_base::linger(true, 0), Ignored);
      Each->socket().close(Ignored);
    }
  }

  asio::io_context &Context;
  Record &Log;
  const std::string Ip;
  const std::string Id;
  const std::string Zone;
  const std::vector<std::string> Controls;
  tcp::acceptor Acceptor;
  asio::steady_timer Changed;
  std::int64_t Born = std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
  std::uint64_t Sequence = 0;
  /// The last heartbeat was acknowledged.
  bool WasTaken = true;
  Clock::time_point ColdUntil;
  bool Crashed = false;
  std::vector<Arrival> Arrivals;
  std::deque<Clock::time_point> ColdSecond;
  std::set<std::string> Running;
  std::set<std::string> CutOff;
  std::set<std::shared_ptr<beast::tcp_stream>> Open;
};

/// Of a process: with the whole system, again with its disk, or as a new
/// machine.
enum class Start { First, Again, Replacement };

/// What a client sent and got; status 0 is a connection without an answer.
struct Attempt {
  Clock::time_point SentAt;
  bool MayRepeat = false;
  unsigned Status = 0;
};

/// The deployment: three zones with a core machine, an edge machine and a
/// server each.
class World {
public:
  explicit World(const std::string &RecordPath)
      : Log(RecordPath), Folder(makeFolder()), Programs(this->Folder) {
    this->StopSignals.async_wait(
        [this](const boost::system::error_code &Error, int) {
          if (!Error)
            this->Context.stop();
        });
    auto Id = static_cast<unsigned>(getpid());
    this->Network = "127." + std::to_string(1 + Id / 256 % 250) + "." +
                    std::to_string(Id % 256) + ".";
    for (std::size_t I = 0; I < Zones; ++I) {
      this->Controls.push_back(this->Network + std::to_string(11 + I));
      this->Edges.push_back(this->Network + std::to_string(21 + I));
    }
    for (std::size_t I = 0; I < Zones; ++I)
      this->Servers.push_back(std::make_unique<Server>(
          this->Context, this->Log, this->Network + std::to_string(31 + I),
          "i-desk" + std::to_string(I), zoneName(I), this->Controls));
  }
  ~World() {
    std::error_code Ignored;
    if (getenv("KEEP") == nullptr)
      std::filesystem::remove_all(this->Folder, Ignored);
  }
  World(const World &) = delete;
  World &operator=(const World &) = delete;

  /// All \return the exit code of the script.
  int playCold(bool HasTrouble);
  int playColdWithoutCore(bool HasTrouble);
  int playFirstStart(bool HasTrouble);

private:
  static std::string makeFolder() {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(Pattern.data()) == nullptr)
      throw std::runtime_error("no temporary folder");
    return Pattern;
  }

  /// The settings as deploy/settings.json renders them.
  [[nodiscard]] std::string settings(std::size_t Zone, bool IsControl,
                                     Start Kind = Start::First) const {
    std::string Ip = IsControl ? this->Controls[Zone] : this->Edges[Zone];
    auto At = [&](unsigned Port) {
      return '"' + Ip + ":" + std::to_string(Port) + '"';
    };
    std::string Name = std::string(IsControl ? "core-" : "edge-") +
                       zoneName(Zone) +
                       (Kind == Start::Replacement ? "-2" : "-1");
    std::string Text = R"({"host":")" + Name + R"(","ip":")" + Ip +
                       R"(","failure_domain":")" + zoneName(Zone) +
                       R"(","failure_domains":["zone-a","zone-b","zone-c"],)";
    if (IsControl) {
      std::string Data = this->Folder + "/" + Name + "-data";
      std::filesystem::create_directories(Data);
      Text += R"("control_address":)" + At(ControlPort) +
              R"(,"data_folder":")" + Data + R"(",)";
    } else {
      Text += R"("caller_address":)" + At(CallerPort) +
              R"(,"readiness_address":)" + At(ReadinessPort) + ",";
    }
    Text += R"("peer_port":)" + std::to_string(PeerPort) +
            R"(,"metrics_port":)" + std::to_string(MetricsPort) +
            R"(,"seeds":[)";
    for (std::size_t I = 0; I < Zones; ++I)
      Text += (I == 0 ? "\"" : ",\"") + this->Controls[I] + ":" +
              std::to_string(ControlPort) + '"';
    return Text + R"(],"first_start":)" +
           (Kind == Start::First ? "true" : "false") +
           R"(,"memory_mb":256,"report_interval_ms":1200,)"
           R"("faults_borne":{"hosts":1,"failure_domains":1},)"
           R"("bounds":{"drain_ms":2000,"grace_s":8,"revocation_ms":5000,)"
           R"("repeat_ratio":0.2,"repeat_slack":130,"repeat_window_s":10}})";
  }

  /// Starts all, of the core machines those from \p FirstControl on.
  void startAll(std::size_t FirstControl = 0) {
    for (std::size_t I = 0; I < Zones; ++I) {
      if (I >= FirstControl)
        this->Programs.start("control", "control-" + std::to_string(I),
                             this->settings(I, true));
      this->Programs.start("entry", "entry-" + std::to_string(I),
                           this->settings(I, false));
    }
    for (const auto &Each : this->Servers)
      Each->start();
  }

  /// Sends the operator's configuration until it is acknowledged, or \p Limit
  /// has passed. \returns whether it was.
  asio::awaitable<bool> putConfig(Clock::duration Limit) {
    std::string Text =
        R"({"version":7,"routes":[)"
        R"({"name":"r-post","host":"desk.example","path_prefix":"/post/",)"
        R"("route_kind":"non_idempotent","timeout_ms":2000,"goal_ms":300,)"
        R"("priority":2,"service":"desk","max_attempts":1,"public":true},)"
        R"({"name":"r-get","host":"desk.example","path_prefix":"/get/",)"
        R"("route_kind":"idempotent","timeout_ms":2000,"goal_ms":300,)"
        R"("priority":2,"service":"desk","max_attempts":2,"public":true}],)"
        R"("services":[{"name":"desk","health_path":"/healthz",)"
        R"("max_conns":374,"protocol":"h1","tls":false,"cold_start_s":3.0,)"
        R"("cold_per_s":36.0}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
    unsigned Status = 0;
    Clock::time_point GiveUpAt = Clock::now() + Limit;
    for (std::size_t I = 0; Status != 200 && Clock::now() < GiveUpAt; ++I) {
      Request Message(http::verb::put, "/config", 11);
      Message.set(http::field::content_type, "application/json");
      Message.body() = Text;
      auto Answer = co_await fetch(this->Controls[I % Zones], ControlPort,
                                   std::move(Message), milliseconds(1000));
      unsigned Previous =
          std::exchange(Status, Answer ? Answer->result_int() : 0);
      if (Status != Previous || I < Zones)
        this->Log.line("PUT /config to core machine " +
                       std::to_string(I % Zones) + ": status " +
                       std::to_string(Status));
      co_await sleepFor(milliseconds(200));
    }
    co_return Status == 200;
  }

  asio::awaitable<bool> isReady() {
    for (const std::string &Edge : this->Edges) {
      Request Message(http::verb::get, "/readyz", 11);
      auto Answer = co_await fetch(Edge, ReadinessPort, std::move(Message),
                                   milliseconds(1000));
      if (!Answer || Answer->result_int() != 200)
        co_return false;
    }
    co_return true;
  }

  /// Sends a request every \p Interval to one edge machine, each on a kept
  /// connection where the one before has been answered.
  asio::awaitable<void> client(std::size_t Number, milliseconds Interval);
  asio::awaitable<void> send(beast::tcp_stream &Stream, std::string Id,
                             bool MayRepeat, Attempt &Result);
  asio::awaitable<void> startClients();
  asio::awaitable<void> endClients();
  asio::awaitable<void> directCold(bool HasTrouble);
  asio::awaitable<void> directColdWithoutCore(bool HasTrouble);
  asio::awaitable<void> directFirstStart(bool HasTrouble);
  [[nodiscard]] int judgeCold();

  Record Log;
  const std::string Folder;
  Processes Programs;
  asio::io_context Context{1};
  /// An interrupted run ends its processes too.
  asio::signal_set StopSignals{this->Context, SIGTERM, SIGINT};
  std::string Network;
  std::vector<std::string> Controls;
  std::vector<std::string> Edges;
  std::vector<std::unique_ptr<Server>> Servers;
  std::map<std::string, Attempt> Attempts;
  bool Stopping = false;
  bool CouldRun = false;
  unsigned Served = 0;
};

} // namespace

asio::awaitable<void> World::send(beast::tcp_stream &Stream, std::string Id,
                                  bool MayRepeat, Attempt &Result) {
  Request Message(MayRepeat ? http::verb::get : http::verb::post,
                  MayRepeat ? "/get/1" : "/post/1", 11);
  Message.set(http::field::host, "desk.example");
  Message.set("X-Carobhinge-Attempt-Id", Id);
  Message.set("X-Carobhinge-Deadline-Ms", "2000");
  if (!MayRepeat)
    Message.body() = "order " + Id;
  Message.prepare_payload();
  Stream.expires_after(milliseconds(2500));
  auto [WriteError, Written] =
      co_await http::async_write(Stream, Message, UseTuple);
  beast::flat_buffer Buffer;
  Response Answer;
  if (!WriteError) {
    auto [ReadError, Read] =
        co_await http::async_read(Stream, Buffer, Answer, UseTuple);
    if (!ReadError)
      Result.Status = Answer.result_int();
  }
  if (Result.Status == 0 || !Answer.keep_alive())
    Stream.close();
}

asio::awaitable<void> World::client(std::size_t Number, milliseconds Interval) {
  tcp::endpoint Edge(asio::ip::make_address(this->Edges[Number % Zones]),
                     CallerPort);
  beast::tcp_stream Stream(this->Context);
  Clock::time_point Next =
      Clock::now() + Interval * static_cast<int>(Number % 8) / 8;
  for (unsigned Count = 0; !this->Stopping; ++Count) {
    co_await sleepFor(Next - Clock::now());
    Next = std::max(Next + Interval, Clock::now());
    if (!Stream.socket().is_open()) {
      Stream.expires_after(milliseconds(1000));
      auto [Error] = co_await Stream.async_connect(Edge, UseTuple);
      if (Error) {
        Stream.close();
        continue;
      }
    }
    std::string Id = "a" + std::to_string(Number) + "-" + std::to_string(Count);
    Attempt &Result = this->Attempts[Id];
    Result = {.SentAt = Clock::now(), .MayRepeat = Count % 3 == 0};
    co_await this->send(Stream, Id, Result.MayRepeat, Result);
  }
}

/// Starts 27 clients once all edge machines are ready, and lets them send for a
/// while. Where the machines don't get ready, the case can't run.
asio::awaitable<void> World::startClients() {
  static constexpr std::size_t Clients = 27;
  static constexpr milliseconds Interval(100);
  bool IsTaken = co_await this->putConfig(std::chrono::seconds(30));
  Clock::time_point GiveUpAt = Clock::now() + std::chrono::seconds(30);
  bool AreReady = false;
  while (IsTaken && !AreReady && Clock::now() < GiveUpAt)
    AreReady = co_await this->isReady();
  if (!AreReady) {
    this->Log.line("the edge machines are not ready");
    this->Context.stop();
  }
  co_await sleepFor(milliseconds(2000));
  for (std::size_t I = 0; I < Clients; ++I)
    asio::co_spawn(this->Context, this->client(I, Interval), asio::detached);
  this->Log.line("clients send " + std::to_string(Clients * 10) +
                 " requests a second");
  co_await sleepFor(milliseconds(5000));
}

asio::awaitable<void> World::endClients() {
  co_await sleepFor(milliseconds(6000));
  this->Stopping = true;
  co_await sleepFor(milliseconds(3000));
  this->CouldRun = true;
  this->Context.stop();
}

/// The first server turns cold; with trouble it does so again two seconds
/// later, before it is warm.
asio::awaitable<void> World::directCold(bool HasTrouble) {
  co_await this->startClients();
  this->Servers[0]->turnCold();
  co_await sleepFor(milliseconds(2000));
  if (HasTrouble)
    this->Servers[0]->turnCold();
  co_await this->endClients();
}

/// The first server turns cold; with trouble the processes of the core are
/// killed 300 ms before that, and are back 900 ms after they were killed.
asio::awaitable<void> World::directColdWithoutCore(bool HasTrouble) {
  co_await this->startClients();
  for (std::size_t I = 0; I < Zones && HasTrouble; ++I)
    this->Programs.killNow("control-" + std::to_string(I));
  if (HasTrouble)
    this->Log.line("all processes of the core are killed");
  co_await sleepFor(milliseconds(300));
  this->Servers[0]->turnCold();
  co_await sleepFor(milliseconds(600));
  for (std::size_t I = 0; I < Zones && HasTrouble; ++I)
    this->Programs.start("control", "control-" + std::to_string(I),
                         this->settings(I, true, Start::Again));
  if (HasTrouble)
    this->Log.line("all processes of the core start again");
  co_await this->endClients();
}

/// FAILBACK: a cold server gets more requests in one second than cold_per_s x
/// cold_overage + cold_slack; those count that were sent and arrived inside
/// that second.
int World::judgeCold() {
  if (!this->CouldRun)
    return 2;
  std::map<unsigned, unsigned> Statuses;
  for (const auto &[Id, Each] : this->Attempts)
    ++Statuses[Each.Status];
  for (const auto &[Status, Count] : Statuses)
    this->Log.line("clients got status " + std::to_string(Status) + ": " +
                   std::to_string(Count));
  double Bound = ColdPerSecond * ColdOverage + ColdSlack;
  std::size_t Most = 0;
  Clock::time_point MostAt;
  std::size_t Served = 0;
  for (const auto &Each : this->Servers) {
    const std::vector<Arrival> &All = Each->arrivals();
    Served += All.size();
    this->Log.line(Each->id() + " got " + std::to_string(All.size()) +
                   " requests");
    for (std::size_t I = 0; I < All.size(); ++I) {
      std::size_t Count = 0;
      for (std::size_t J = I;
           J < All.size() && All[J].At - All[I].At <= std::chrono::seconds(1);
           ++J)
        if (All[J].IsCold &&
            this->Attempts[All[J].Id].SentAt >= All[I].At - milliseconds(1))
          ++Count;
      if (Count > Most) {
        Most = Count;
        MostAt = All[I].At;
      }
    }
    for (const std::string &Id : Each->cutOff()) {
      const Attempt &Cut = this->Attempts[Id];
      this->Log.line("cut off by the crash: " + Id +
                     (Cut.MayRepeat ? " (idempotent)" : " (non_idempotent)") +
                     ", its client got " + std::to_string(Cut.Status));
    }
  }
  if (Served == 0)
    return 2;
  this->Log.line(
      "most requests to a cold server in one second: " + std::to_string(Most) +
      ", bound " + std::to_string(static_cast<int>(Bound)) + ", at " +
      std::to_string(
          std::chrono::duration_cast<milliseconds>(MostAt - this->Log.start())
              .count()) +
      " ms");
  bool IsBroken = static_cast<double>(Most) > Bound;
  this->Log.line(IsBroken ? "FAILBACK is broken" : "FAILBACK held");
  return IsBroken ? 1 : 0;
}

int World::playCold(bool HasTrouble) {
  this->startAll();
  asio::co_spawn(this->Context, this->directCold(HasTrouble), asio::detached);
  this->Context.run_for(std::chrono::seconds(90));
  return this->judgeCold();
}

int World::playColdWithoutCore(bool HasTrouble) {
  this->startAll();
  asio::co_spawn(this->Context, this->directColdWithoutCore(HasTrouble),
                 asio::detached);
  this->Context.run_for(std::chrono::seconds(90));
  return this->judgeCold();
}

/// All machines start for the first time, the first core machine 250 ms before
/// the others. With trouble it is lost for good 200 ms after its start, and an
/// empty one at another address takes its place after two seconds.
asio::awaitable<void> World::directFirstStart(bool HasTrouble) {
  static constexpr std::size_t Clients = 6;
  this->Log.line("core machine 0 starts for the first time");
  this->Programs.start("control", "control-0", this->settings(0, true));
  co_await sleepFor(milliseconds(200));
  if (HasTrouble) {
    this->Log.line("core machine 0 is lost for good");
    this->Programs.killNow("control-0");
  }
  co_await sleepFor(milliseconds(50));
  this->Log.line("all other machines start for the first time");
  this->startAll(1);
  if (HasTrouble) {
    co_await sleepFor(milliseconds(2000));
    this->Controls.erase(this->Controls.begin());
    this->Controls.push_back(this->Network + "14");
    this->Log.line("an empty core machine starts at another address");
    this->Programs.start("control", "control-3",
                         this->settings(Zones - 1, true, Start::Replacement));
  }
  co_await sleepFor(milliseconds(3000));
  bool IsTaken = co_await this->putConfig(std::chrono::seconds(60));
  this->Log.line(IsTaken ? "the configuration is acknowledged"
                         : "no core machine has taken the configuration in "
                           "60 s");
  co_await sleepFor(milliseconds(2000));
  for (std::size_t I = 0; I < Clients; ++I)
    asio::co_spawn(this->Context, this->client(I, milliseconds(200)),
                   asio::detached);
  co_await sleepFor(milliseconds(10000));
  this->Stopping = true;
  co_await sleepFor(milliseconds(2600));
  for (const auto &[Id, Each] : this->Attempts)
    this->Served += Each.Status == 200 ? 1 : 0;
  this->Log.line("of " + std::to_string(this->Attempts.size()) + " requests " +
                 std::to_string(this->Served) + " were served");
  this->CouldRun = !this->Attempts.empty();
  this->Context.stop();
}

/// Fault: no request is served.
int World::playFirstStart(bool HasTrouble) {
  asio::co_spawn(this->Context, this->directFirstStart(HasTrouble),
                 asio::detached);
  this->Context.run_for(std::chrono::seconds(110));
  if (!this->CouldRun)
    return 2;
  this->Log.line(this->Served == 0 ? "Fault: no request is served"
                                   : "requests are served");
  return this->Served == 0 ? 1 : 0;
}

int main(int Count, char **Words) {
  if (Count != 4)
    return 2;
  std::string Case = Words[1];
  bool HasTrouble = std::string(Words[3]) != "0";
  std::signal(SIGPIPE, SIG_IGN);
  try {
    World Play(Words[2]);
    if (Case == "cold")
      return Play.playCold(HasTrouble);
    if (Case == "cold-without-core")
      return Play.playColdWithoutCore(HasTrouble);
    return Case == "first-start" ? Play.playFirstStart(HasTrouble) : 2;
  } catch (const std::exception &Failure) {
    std::cerr << Failure.what() << std::endl;
    return 2;
  }
}
