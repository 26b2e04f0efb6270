//===- Tests/LibRouting/TestFairQueue.cpp - Shares of the workspaces ------===//
///
/// \file
/// Guards against a workspace that is starved: with any mix of workspaces,
/// weights and costs, each backlogged workspace gets its weighted share.
///
//===----------------------------------------------------------------------===//

#include <LibRouting/FairQueue.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace carobhinge;

static constexpr unsigned Workspaces = 4;
static constexpr std::uint32_t MaxCost = 5;

namespace {

/// A queue, the requests in it, and the cost served so far.
class SharedQueue {
public:
  explicit SharedQueue(const std::map<WorkspaceName, double> &Weights)
      : Queue(Weights) {}

  void push(unsigned Workspace, std::uint32_t Cost, int Priority = 0,
            bool Forwarded = false) {
    RoutedRequest Request;
    Request.Id = ++this->LastId;
    Request.Workspace = std::to_string(Workspace);
    Request.Cost = Cost;
    Request.Priority = Priority;
    Request.Forwarded = Forwarded;
    this->Requests[Request.Id] = Request;
    ++this->Waiting[Workspace];
    this->Queue.push(Request, this->LastId);
  }

  /// Dequeues the next request and charges its workspace.
  RoutedRequest pop() {
    RoutedRequest Request = this->Requests.at(this->Queue.front().value());
    this->Queue.popFront();
    unsigned Workspace = std::stoul(Request.Workspace);
    --this->Waiting[Workspace];
    this->Served[Workspace] += Request.Cost;
    return Request;
  }

  FairQueue Queue;
  std::map<unsigned, unsigned> Waiting;
  std::map<unsigned, double> Served;

private:
  std::map<RequestId, RoutedRequest> Requests;
  RequestId LastId = 0;
};

} // namespace

RC_GTEST_PROP(FairQueue, BackloggedWorkspacesGetTheirWeightedShare, ()) {
  std::map<WorkspaceName, double> Weights;
  for (unsigned I = 0; I < Workspaces; ++I)
    Weights[std::to_string(I)] = *rc::gen::inRange(1, 6);
  SharedQueue Shared(Weights);
  // Difference of each pair's normalized cost when both became backlogged.
  std::map<std::pair<unsigned, unsigned>, double> Start;
  auto NormalizedCost = [&](unsigned I) {
    return Shared.Served[I] / Weights[std::to_string(I)];
  };
  auto Steps =
      *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 1000U));
  for (unsigned Step : Steps) {
    if (Step % 5 < 3)
      Shared.push(Step % Workspaces, 1 + Step % MaxCost);
    else if (Shared.Queue.front())
      Shared.pop();
    for (unsigned I = 0; I < Workspaces; ++I) {
      for (unsigned J = 0; J < I; ++J) {
        if (Shared.Waiting[I] == 0 || Shared.Waiting[J] == 0) {
          Start.erase({I, J});
          continue;
        }
        double CostDifference = NormalizedCost(I) - NormalizedCost(J);
        double InitialDifference =
            Start.try_emplace({I, J}, CostDifference).first->second;
        double Bound = MaxCost / Weights[std::to_string(I)] +
                       MaxCost / Weights[std::to_string(J)];
        RC_ASSERT(std::abs(CostDifference - InitialDifference) <= Bound + 1e-9);
      }
    }
  }
}

TEST(FairQueue, UnusedShareIsNotAccumulated) {
  SharedQueue Shared({});
  for (int I = 0; I < 100; ++I)
    Shared.push(0, 1);
  for (int I = 0; I < 50; ++I)
    Shared.pop();
  // The workspace that was idle now takes turns with the other one and does not
  // catch up.
  for (int I = 0; I < 50; ++I)
    Shared.push(1, 1);
  for (int I = 0; I < 20; ++I)
    Shared.pop();
  EXPECT_NEAR(Shared.Served[1], 10, 1);
}

TEST(FairQueue, OrdersByPriorityThenLocalThenArrival) {
  SharedQueue Shared({});
  Shared.push(0, 1, 1, false);
  Shared.push(0, 1, 0, true);
  Shared.push(0, 1, 0, false);
  Shared.push(0, 1, 0, false);
  for (RequestId Expected : {3, 4, 2, 1})
    EXPECT_EQ(Shared.pop().Id, Expected);
}

TEST(FairQueue, PositionReportsCostAheadAndShare) {
  SharedQueue Shared({{"0", 3}});
  Shared.push(0, 2, 0);
  Shared.push(0, 4, 1);
  Shared.push(1, 7, 0);
  RoutedRequest Request;
  Request.Workspace = "0";
  EXPECT_EQ(Shared.Queue.position(Request).CostAhead, 2U);
  EXPECT_DOUBLE_EQ(Shared.Queue.position(Request).Share, 0.75);
  Request.Priority = 1;
  EXPECT_EQ(Shared.Queue.position(Request).CostAhead, 6U);
  Shared.Queue.setWeights({});
  EXPECT_DOUBLE_EQ(Shared.Queue.position(Request).Share, 0.5);
}
