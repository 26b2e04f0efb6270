//===- Tests/Platform/TestDecoders.cpp - Decoding of platform formats -----===//
///
/// \file
/// Guards against malformed heartbeats and truncated catalogs that are
/// accepted, secrets that are forwarded to endpoints, and requests that are
/// wrongly taken to have run or not to have run.
///
//===----------------------------------------------------------------------===//

#include <gtest/gtest.h>
#include <platform/CallProtocol.h>
#include <platform/EngineProtocol.h>
#include <platform/WireNames.h>

using namespace carobhinge;
using namespace carobhinge::platform;

static constexpr std::string_view Heartbeat =
    R"({"service":"s","addr":"10.0.0.9:8080","zone":"a","version":"v1",
        "slots":26,"state":"ready","cold_left_ms":1500,"phase":"colocated",
        "models":[],"seq":4,"born":17,"domain":3,"staged":["m"],
        "group":{"name":"m.g-7","epoch":7,"rank":1,"state":"ready"}})";

TEST(ReportDecoder, DecodesACompleteHeartbeat) {
  Findings Out;
  auto Report = EngineProtocol().readReport("i-1", Heartbeat, Out);
  ASSERT_TRUE(Report) << Out.report();
  EXPECT_EQ(Report->Address, "10.0.0.9:8080");
  EXPECT_EQ(Report->Fabric, "3");
  EXPECT_EQ(Report->RemainingColdTime, std::chrono::milliseconds(1500));
  EXPECT_EQ(Report->StagedModels, std::vector<ModelName>{"m"});
  ASSERT_TRUE(Report->Group);
  EXPECT_EQ(Report->Group->Epoch, 7U);
  EXPECT_EQ(Report->Group->State, MemberState::Ready);
  EXPECT_FALSE(Report->Leaving);
}

static std::string replaceInHeartbeat(std::string_view From,
                                      std::string_view To) {
  std::string Text(Heartbeat);
  Text.replace(Text.find(From), From.size(), To);
  return Text;
}

TEST(ReportDecoder, RejectsMalformedHeartbeats) {
  EngineProtocol Protocol;
  for (const std::string &Text :
       {replaceInHeartbeat("\"seq\":4,", ""),
        replaceInHeartbeat("\"seq\":4", "\"seq\":\"4\""),
        replaceInHeartbeat("\"born\":17", "\"born\":17.5"),
        replaceInHeartbeat("\"ready\",\"cold", "\"asleep\",\"cold"),
        replaceInHeartbeat("10.0.0.9:8080", "nowhere"),
        std::string{'\xff', '\0', '{'}, std::string(Heartbeat.substr(0, 80)),
        std::string("[]")}) {
    Findings Out;
    EXPECT_FALSE(Protocol.readReport("i-1", Text, Out)) << Text;
  }
}

// Guards against one odd entry of another writer that names no usable endpoint,
// or whose names make the messages between control hosts too long or
// unreadable, so that the reports of all others are lost with it.
TEST(ReportDecoder, RejectsEntriesThatNameNoUsableEndpoint) {
  EngineProtocol Protocol;
  std::string Long(1024 * 1024, 'x');
  std::string Deep = std::string(20000, '[') + std::string(20000, ']');
  std::string Nested = std::string(30, '[') + std::string(30, ']');
  std::string Staged = "\"staged\":[\"m\"";
  for (int I = 0; I < 2000; ++I)
    Staged += ",\"m" + std::to_string(I) + "\"";
  for (const std::string &Text :
       {replaceInHeartbeat("10.0.0.9:8080", "10.0.0.9:0"),
        replaceInHeartbeat("10.0.0.9:8080", "10.0.0.9:65536"),
        replaceInHeartbeat("10.0.0.9:8080", "10.0.0.9:"),
        replaceInHeartbeat("10.0.0.9:8080", "10.0.0.9:-1"),
        replaceInHeartbeat("10.0.0.9:8080", "0.0.0.0:80"),
        replaceInHeartbeat("10.0.0.9:8080", "[fe80::1%" + Long + "]:80"),
        replaceInHeartbeat("\"s\"", "\"" + Long + "\""),
        replaceInHeartbeat("\"a\",\"version", "\"" + Long + "\",\"version"),
        replaceInHeartbeat("m.g-7", Long),
        replaceInHeartbeat("\"domain\":3", "\"domain\":\"" + Long + "\""),
        replaceInHeartbeat("\"domain\":3", "\"domain\":" + Deep),
        replaceInHeartbeat("\"domain\":3", "\"domain\":" + Nested),
        replaceInHeartbeat("\"domain\":3", "\"domain\":{\"a\":1}"),
        replaceInHeartbeat("[\"m\"]", "[\"" + Long + "\"]"),
        replaceInHeartbeat("\"staged\":[\"m\"", Staged),
        replaceInHeartbeat("\"born\":17", "\"born\":99999999999999999999"),
        replaceInHeartbeat("\"born\":17", "\"born\":1e400"),
        replaceInHeartbeat("\"seq\":4", "\"seq\":1e400"),
        replaceInHeartbeat("\"slots\":26", "\"slots\":4294967296"),
        replaceInHeartbeat("\"slots\":26", "\"slots\":-1"),
        replaceInHeartbeat("1500", "1e400"),
        replaceInHeartbeat("1500", "NaN"),
        replaceInHeartbeat("1500", "-1"),
        replaceInHeartbeat("\"epoch\":7", "\"epoch\":18446744073709551616"),
        replaceInHeartbeat("\"rank\":1", "\"rank\":-2"),
        std::string("3"),
        std::string("\"text\""),
        std::string("null")}) {
    Findings Out;
    EXPECT_FALSE(Protocol.readReport("i-1", Text, Out)) << Text.substr(0, 400);
    EXPECT_FALSE(Out.empty()) << Text.substr(0, 400);
    EXPECT_LT(Out.report().size(), 4096U);
  }
  for (const std::string &Id :
       {std::string(), Long, std::string("\xff"), std::string("a b"),
        std::string("a\nb"), std::string("a\0b", 3)}) {
    Findings Out;
    EXPECT_FALSE(Protocol.readReport(Id, Heartbeat, Out)) << Id.substr(0, 40);
    EXPECT_FALSE(Out.empty());
  }
}

TEST(CatalogDecoder, BoundsTimes) {
  Findings Out;
  auto Decoded = EngineProtocol().readCatalog(
      R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",
          "timeout_ms":1e18,"goal_ms":-1e18,"service":"s"}],
          "services":[{"name":"s","engine":{"form_ms":1e18,
            "models":[{"name":"m","load_s":1e18}]}}]})",
      Out);
  ASSERT_TRUE(Decoded) << Out.report();
  EXPECT_GT(Decoded->Routes[0].Timeout, std::chrono::hours(1));
  EXPECT_LT(Decoded->Routes[0].Objective, Duration::zero());
  EXPECT_GT(Decoded->Services[0].Engine->Models[0].LoadTime,
            std::chrono::hours(1));
}

TEST(CallProtocol, BoundsTheTimeThatACallerWaits) {
  auto Read = [](std::string_view Text) {
    HttpRequest Call{.Method = "GET", .Target = "/p/1"};
    Call.Headers.add(DeadlineField, Text);
    return CallProtocol().readCall(Call).TimeBudget;
  };
  EXPECT_EQ(Read("8000"), std::chrono::seconds(8));
  EXPECT_EQ(Read("9223372036854775807"), std::chrono::hours(24));
  EXPECT_EQ(Read("-9223372036854775808"), Duration::zero());
  for (std::string_view Text : {"", "nan", "1e3", "99999999999999999999"})
    EXPECT_FALSE(Read(Text)) << Text;
}

TEST(CatalogDecoder, DecodesRoutesServicesAndWorkspaces) {
  Findings Out;
  auto Decoded = EngineProtocol().readCatalog(
      R"({"version":7,"new":1,
          "routes":[{"name":"r","host":"h","path_prefix":"/p/",
            "route_kind":"streaming","timeout_ms":8000,"goal_ms":300,
            "priority":1,"split":[{"service":"s","weight":90}],
            "max_attempts":2,"public":false,"resumable":true,
            "itl_target_ms":300}],
          "services":[{"name":"s","health_path":"/healthz","max_conns":4,
            "cold_per_s":36.0,"engine":{"slots":26,"form_ms":300.0,
              "loads_per_s":4.5,"loads_at_once":6,
              "models":[{"name":"m","size":4,"share":0.57,"pace":1.0,
                         "load_s":16.0,"warm_s":1.6}]}}],
          "tenants":[{"name":"t","api_keys":["k"],"priority":1}]})",
      Out);
  ASSERT_TRUE(Decoded) << Out.report();
  EXPECT_EQ(Decoded->Version, 7U);
  EXPECT_EQ(Decoded->Routes[0].Retries, RetryRule::Stream);
  EXPECT_TRUE(Decoded->Routes[0].isSafeToRetry());
  EXPECT_EQ(Decoded->Services[0].Engine->Models[0].GroupSize, 4);
  EXPECT_EQ(Decoded->Workspaces[0].Keys, std::vector<std::string>{"k"});
}

TEST(CatalogDecoder, RejectsTruncatedText) {
  for (std::string_view Text :
       {R"({"version":7,"routes":[],"serv)", R"({"version":7,"routes":[]})",
        R"({"routes":[],"services":[]})"}) {
    Findings Out;
    EXPECT_FALSE(EngineProtocol().readCatalog(Text, Out)) << Text;
  }
}

TEST(CallProtocol, RemovesTheKeyAndReplacesTheWorkspaceField) {
  HttpRequest Call{.Method = "POST", .Target = "/p/1", .Body = "b"};
  Call.Headers.add("Host", "h");
  Call.Headers.add("x-carobhinge-key", "secret");
  Call.Headers.add("X-CAROBHINGE-TENANT", "forged");
  Call.Headers.add(DeadlineField, "8000");
  Call.Headers.add(AttemptIdField, "id");
  Call.Headers.add("Connection", "keep-alive");
  CallProtocol Protocol;
  EXPECT_EQ(Protocol.readCall(Call).Key, "secret");
  DispatchMetadata Metadata{.ExpectedEndpoint = "i-1",
                            .RemainingTime = std::chrono::milliseconds(1234),
                            .Workspace = "t",
                            .ResumeAfter = "12"};
  HttpRequest Sent = Protocol.makeEndpointRequest(Call, Metadata);
  EXPECT_EQ(Sent.Headers.count(KeyField), 0U);
  EXPECT_EQ(Sent.Headers.count(WorkspaceField), 1U);
  EXPECT_EQ(Sent.Headers.value(WorkspaceField), "t");
  EXPECT_EQ(Sent.Headers.value(DeadlineField), "1234");
  EXPECT_EQ(Sent.Headers.value(ExpectedField), "i-1");
  EXPECT_EQ(Sent.Headers.value(ResumeField), "12");
  EXPECT_EQ(Sent.Headers.value("Host"), "h");
  EXPECT_EQ(Sent.Headers.count("Connection"), 0U);
  EXPECT_EQ(Sent.Body, "b");
}

// Guards against a stream that begins anew for a caller who resumes it, since
// the id of its last event isn't a number of 64 bits and is left out.
TEST(CallProtocol, PassesOnAnyIdAfterWhichAStreamIsResumed) {
  CallProtocol Protocol;
  for (std::string_view Id :
       {"12", "007", "18446744073709551616", "1526-0", "1.2", "a b"}) {
    HttpRequest Call{.Method = "POST", .Target = "/p/1"};
    Call.Headers.add(ResumeField, Id);
    DispatchMetadata Metadata{.ResumeAfter =
                                  Protocol.readCall(Call).ResumeAfter};
    for (const HttpRequest &Sent :
         {Protocol.makeEndpointRequest(Call, Metadata),
          Protocol.makePeerRequest(Call, Metadata)}) {
      EXPECT_EQ(Sent.Headers.count(ResumeField), 1U);
      EXPECT_EQ(Sent.Headers.value(ResumeField), Id);
    }
  }
  EXPECT_FALSE(Protocol.readCall({.Method = "POST"}).ResumeAfter);
}

// Guards against a request that is handed on and runs at more endpoints than
// its route allows, since each host counts for itself.
TEST(CallProtocol, TellsTheNextEntryHostHowOftenARequestMayHaveRun) {
  HttpRequest Call{.Method = "POST", .Target = "/p/1"};
  Call.Headers.add(PossibleRunsField, "-7");
  CallProtocol Protocol;
  EXPECT_EQ(Protocol.readCall(Call).PossibleRuns, 0);
  HttpRequest HandedOn = Protocol.makePeerRequest(Call, {.PossibleRuns = 1});
  EXPECT_EQ(HandedOn.Headers.count(PossibleRunsField), 1U);
  EXPECT_EQ(Protocol.readCall(HandedOn).PossibleRuns, 1);
  EXPECT_EQ(Protocol.makePeerRequest(Call, {}).Headers.count(PossibleRunsField),
            0U);
  EXPECT_EQ(Protocol.makeEndpointRequest(HandedOn, {})
                .Headers.count(PossibleRunsField),
            0U);
}

// Guards against a request that another host decides on by an older catalog
// than the one that admitted it, and against callers and endpoints that name
// one.
TEST(CallProtocol, TellsTheOtherEntryHostTheVersionOfTheCatalog) {
  HttpRequest Call{.Method = "GET", .Target = "/p/1"};
  Call.Headers.add(CatalogVersionField, "99");
  CallProtocol Protocol;
  HttpRequest HandedOn = Protocol.makePeerRequest(Call, {.AdmittedVersion = 7});
  EXPECT_EQ(HandedOn.Headers.count(CatalogVersionField), 1U);
  EXPECT_EQ(Protocol.readCall(HandedOn).AdmittedVersion, 7U);
  EXPECT_EQ(Protocol.makeEndpointRequest(HandedOn, {})
                .Headers.count(CatalogVersionField),
            0U);
  HttpResponseHead Answer{.Status = 200};
  Answer.Headers.add(CatalogVersionField, "99");
  EXPECT_EQ(Protocol.makeCallerHead(Answer).Headers.count(CatalogVersionField),
            0U);
  HttpResponseHead HandedBack = Protocol.makePeerHead(Answer, "");
  Protocol.addCatalogVersion(HandedBack.Headers, 7);
  EXPECT_EQ(Protocol.readAnswer(HandedBack).PeerCatalogVersion, 7U);
}

// Guards against requests to an endpoint that leaves, from a host that has
// passed its answer on for another host.
TEST(CallProtocol, TellsTheOtherEntryHostWhichEndpointLeaves) {
  CallProtocol Protocol;
  HttpResponseHead Answer{.Status = 200};
  Answer.Headers.add(LeavingField, "1");
  Answer.Headers.add(LeavingEndpointField, "forged");
  EXPECT_EQ(Protocol.makeCallerHead(Answer).Headers.count(LeavingEndpointField),
            0U);
  HttpResponseHead HandedBack = Protocol.makePeerHead(Answer, "i-7");
  EXPECT_TRUE(Protocol.readAnswer(HandedBack).Leaving);
  EXPECT_EQ(Protocol.readAnswer(HandedBack).LeavingEndpoint, "i-7");
  EXPECT_EQ(
      Protocol.makePeerHead(Answer, "").Headers.count(LeavingEndpointField),
      0U);
}

// What an endpoint may write into these fields, and what is read from it.
TEST(CallProtocol, ReadsPausesAndLeaving) {
  auto Read = [](std::string_view RetryAfter, std::string_view Leaving) {
    HttpResponseHead Head{.Status = 503};
    Head.Headers.add("retry-after", RetryAfter);
    Head.Headers.add("server-leaving", Leaving);
    return CallProtocol().readAnswer(Head);
  };
  EXPECT_EQ(Read("1.5", "1").RetryAfter, std::chrono::milliseconds(1500));
  EXPECT_FALSE(Read("-1", "0").RetryAfter);
  EXPECT_TRUE(Read("0", "1").Leaving);
  EXPECT_FALSE(Read("0", "0").Leaving);
  HttpResponseHead Busy{.Status = 503};
  Busy.Headers.add("Retry-After", "2");
  EXPECT_EQ(EngineProtocol().readPause(Busy), std::chrono::seconds(2));
  Busy.Status = 409;
  EXPECT_EQ(EngineProtocol().readPause(Busy), Duration::zero());
}

// Guards against a new start of an engine that is taken for the life before.
TEST(EngineProtocol, ReadsTheLifeThatAnAnswerStates) {
  EngineProtocol Protocol;
  EXPECT_EQ(Protocol.readLife(R"({"phase":"colocated","born":17,"seq":2})"),
            Incarnation(17));
  for (const char *Text :
       {"", "17", "[17]", R"({"seq":2})", R"({"group":{"born":17}})",
        R"({"born":"17"})", R"({"born":17.5})", R"({"born":-1})",
        R"({"born":null})", R"({"born":17)"})
    EXPECT_FALSE(Protocol.readLife(Text)) << Text;
}

TEST(CallProtocol, RecognizesRequestsThatDidNotRun) {
  CallProtocol Protocol;
  HttpResponseHead Full{.Status = 503};
  Full.Headers.add(NotRunField, "1");
  EXPECT_TRUE(Protocol.readAnswer(Full).NotRun);
  EXPECT_TRUE(Protocol.readAnswer({.Status = 421}).NotRun);
  EXPECT_FALSE(Protocol.readAnswer({.Status = 503}).NotRun);
}
