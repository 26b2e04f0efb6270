//===- Tests/LibControl/TestAgreedState.cpp - A control host's disk -------===//

#include <LibControl/AgreedState.h>
#include <LibStore/FakeDisk.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

namespace asio = boost::asio;
using namespace carobhinge;

namespace {

class AgreedStateTest : public testing::Test {
protected:
  /// Runs until \p Reached or for ten seconds.
  bool runUntil(const std::function<bool()> &Reached) {
    TimePoint End = monotonicNow() + std::chrono::seconds(10);
    while (!Reached() && monotonicNow() < End) {
      this->Context.restart();
      this->Context.run_for(std::chrono::milliseconds(5));
    }
    return Reached();
  }
  ProposalStatus propose(std::uint64_t Version) {
    message::RegisterCommand Command;
    Command.set_version(Version);
    Command.set_text("catalog " + std::to_string(Version));
    auto Result =
        asio::co_spawn(this->Context, this->State.propose(std::move(Command)),
                       asio::use_future);
    this->runUntil([&] {
      return Result.wait_for(std::chrono::seconds(0)) ==
             std::future_status::ready;
    });
    return Result.get();
  }
  bool leads() {
    return this->runUntil(
        [this] { return this->State.status().Current == Role::Leader; });
  }

  asio::io_context Context{1};
  FakeDisk Files;
  HostSettings Own = [] {
    HostSettings Settings;
    Settings.Host = "a";
    Settings.Ip = "a";
    Settings.DataFolder = "/data";
    return Settings;
  }();
  std::vector<std::uint64_t> Seen;
  AgreedState State{this->Context.get_executor(),
                    this->Own,
                    {"a"},
                    [](const HostName &, const message::ConsensusMessage &) {},
                    [this](const message::RegisterState &Changed) {
                      this->Seen.push_back(Changed.version());
                    },
                    &this->Files};
};

} // namespace

/// A full disk refuses every write for some seconds.
TEST_F(AgreedStateTest, AHostWhoseDiskWasFullTakesPartAgain) {
  ASSERT_TRUE(this->leads());
  EXPECT_EQ(this->propose(3), ProposalStatus::Committed);
  this->Files.FailSyncs = true;
  EXPECT_NE(this->propose(4), ProposalStatus::Committed);
  EXPECT_NE(this->State.mend(), "");
  // Still full.
  this->runUntil([this] { return !this->State.status().LastError.empty(); });
  this->Files.FailSyncs = false;
  this->runUntil([this] { return this->State.mend().empty(); });
  ASSERT_TRUE(this->leads());
  EXPECT_EQ(this->propose(5), ProposalStatus::Committed);
  EXPECT_EQ(this->State.state().version(), 5U);
  EXPECT_TRUE(std::ranges::is_sorted(this->Seen));
}
