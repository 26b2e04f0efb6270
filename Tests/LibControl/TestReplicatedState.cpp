//===- Tests/LibControl/TestReplicatedState.cpp - Disk failures -----------===//
///
/// \file
/// Guards against a control host that stays out of the log after a transient
/// disk failure.
///
//===----------------------------------------------------------------------===//

#include <LibControl/ReplicatedState.h>
#include <LibStore/FakeDisk.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

namespace asio = boost::asio;
using namespace carobhinge;

namespace {

class ReplicatedStateTest : public testing::Test {
protected:
  /// Runs until \p Reached returns true, for ten seconds at most.
  bool runUntil(const std::function<bool()> &Reached) {
    TimePoint Deadline = monotonicNow() + std::chrono::seconds(10);
    while (!Reached() && monotonicNow() < Deadline) {
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
  bool waitForLeadership() {
    return this->runUntil(
        [this] { return this->State.status().Current == Role::Leader; });
  }

  asio::io_context Context{1};
  FakeDisk Files;
  HostSettings Settings = [] {
    HostSettings Values;
    Values.Host = "a";
    Values.Ip = "a";
    Values.DataFolder = "/data";
    return Values;
  }();
  std::vector<std::uint64_t> SeenVersions;
  ReplicatedState State{
      this->Context.get_executor(),
      this->Settings,
      {"a"},
      [](const HostName &, const message::ConsensusMessage &) {},
      [this](const message::RegisterState &Changed) {
        this->SeenVersions.push_back(Changed.version());
      },
      &this->Files};
};

} // namespace

/// A full disk fails every write for some seconds. The host must rejoin once
/// writes succeed again, without a restart of the process.
TEST_F(ReplicatedStateTest, HostRejoinsAfterFullDisk) {
  ASSERT_TRUE(this->waitForLeadership());
  EXPECT_EQ(this->propose(3), ProposalStatus::Committed);
  this->Files.FailSyncs = true;
  EXPECT_NE(this->propose(4), ProposalStatus::Committed);
  EXPECT_NE(this->State.recover(), "");
  // The disk is still full.
  this->runUntil([this] { return !this->State.status().LastError.empty(); });
  this->Files.FailSyncs = false;
  this->runUntil([this] { return this->State.recover().empty(); });
  ASSERT_TRUE(this->waitForLeadership());
  EXPECT_EQ(this->propose(5), ProposalStatus::Committed);
  EXPECT_EQ(this->State.state().version(), 5U);
  EXPECT_TRUE(std::ranges::is_sorted(this->SeenVersions));
}
