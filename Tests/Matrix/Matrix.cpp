//===- Tests/Matrix/Matrix.cpp - Runs scripts under every fault -----------===//
///
/// \file
/// Runs the cells of all scripts on a few threads and prints how many held.
/// Option --share N runs only N of 100 cells, selected by the seed. A failed
/// cell counts as known red if KNOWN-RED.txt lists it as `cell NAME`. Any other
/// failure makes the program fail.
///
///     Matrix [--seed N] [--share N] [--only SCRIPT] [--cell NAME]
///
//===----------------------------------------------------------------------===//

#include "Script.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <map>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

namespace carobhinge::matrix {

std::vector<std::unique_ptr<Script>> &scripts() {
  static std::vector<std::unique_ptr<Script>> All;
  return All;
}

namespace {

/// Random pairs of points tested for each ordered pair of faults.
constexpr std::size_t PointsPerPair = 12;

struct Settings {
  std::uint64_t Seed = 1;
  unsigned Share = 100;
  unsigned Threads = 3;
  std::string OnlyScript;
  std::string OnlyCell;
};

struct Cell {
  const Script *TestedScript = nullptr;
  std::vector<FaultInjection> Faults;

  [[nodiscard]] std::string faultNames() const {
    std::string Text;
    for (const FaultInjection &Each : this->Faults)
      Text += (Text.empty() ? "" : "+") + std::string(Each.Fault);
    return Text;
  }
  [[nodiscard]] std::string name() const {
    std::string Text(this->TestedScript->name());
    char Separator = '/';
    for (const FaultInjection &Each : this->Faults) {
      Text += Separator + std::string(Each.Fault) + "@" +
              std::to_string(Each.Point);
      Separator = '+';
    }
    return Text;
  }
};

class Matrix {
public:
  explicit Matrix(Settings Options) : Options(std::move(Options)) {}

  int run() {
    std::printf("matrix: seed=%llu share=%u%%\n",
                static_cast<unsigned long long>(this->Options.Seed),
                this->Options.Share);
    this->readKnownRed();
    for (const auto &Each : scripts())
      if (this->Options.OnlyScript.empty() ||
          Each->name() == this->Options.OnlyScript)
        this->planCells(*Each);
    std::vector<std::thread> Workers;
    for (unsigned Each = 0; Each < this->Options.Threads; ++Each)
      Workers.emplace_back([this] { this->runCells(); });
    for (std::thread &Each : Workers)
      Each.join();
    return this->report();
  }

private:
  struct CellCount {
    std::size_t Cells = 0;
    std::size_t Held = 0;
  };

  void readKnownRed() {
    std::ifstream File(CAROBHINGE_SOURCE_FOLDER "/KNOWN-RED.txt");
    for (std::string Line; std::getline(File, Line);) {
      std::istringstream Tokens(Line);
      for (std::string Token; Tokens >> Token;)
        if (Token == "cell" && Tokens >> Token)
          this->KnownRed.push_back(Token);
    }
  }

  /// Counts the points of a run without faults and selects the cells.
  void planCells(const Script &TestedScript) {
    Observation Baseline = TestedScript.run(this->Options.Seed, {});
    if (Baseline.Violation || Baseline.Points == 0) {
      std::printf("matrix: FAILED %s without a fault: %s\n",
                  std::string(TestedScript.name()).c_str(),
                  Baseline.Violation.value_or("no points").c_str());
      ++this->FailedCount;
      return;
    }
    std::mt19937_64 Random(this->Options.Seed);
    for (std::string_view Fault : TestedScript.faults())
      for (std::size_t Point = 0; Point < Baseline.Points; ++Point)
        this->addIfSelected(Random, {&TestedScript, {{Fault, Point}}});
    if (!TestedScript.pairs())
      return;
    for (std::string_view First : TestedScript.faults())
      for (std::string_view Second : TestedScript.faults())
        for (std::size_t Each = 0; Each < PointsPerPair; ++Each) {
          std::size_t FirstPoint = Random() % Baseline.Points;
          std::size_t SecondPoint = Random() % Baseline.Points;
          this->addIfSelected(Random,
                              {&TestedScript,
                               {{First, std::min(FirstPoint, SecondPoint)},
                                {Second, std::max(FirstPoint, SecondPoint)}}});
        }
  }

  void addIfSelected(std::mt19937_64 &Random, Cell NewCell) {
    bool IsSelected = Random() % 100 < this->Options.Share;
    if (!this->Options.OnlyCell.empty())
      IsSelected = NewCell.name() == this->Options.OnlyCell;
    if (IsSelected)
      this->Cells.push_back(std::move(NewCell));
  }

  void runCells() {
    for (std::size_t Index = this->NextIndex++; Index < this->Cells.size();
         Index = this->NextIndex++) {
      const Cell &TestedCell = this->Cells[Index];
      Observation Result =
          TestedCell.TestedScript->run(this->Options.Seed, TestedCell.Faults);
      this->recordResult(TestedCell, Result);
    }
  }

  void recordResult(const Cell &TestedCell, const Observation &Result) {
    std::lock_guard<std::mutex> Guard(this->Lock);
    if (Result.IsUnrecoverable) {
      this->UnrecoverableCells.push_back(TestedCell.name());
      return;
    }
    bool IsPair = TestedCell.Faults.size() > 1;
    std::string Kind = std::string(TestedCell.TestedScript->name()) +
                       (IsPair ? " faults=pairs" : " fault=") +
                       (IsPair ? "" : TestedCell.faultNames());
    CellCount &KindCount = this->Counts[Kind];
    ++KindCount.Cells;
    if (!Result.Violation) {
      ++KindCount.Held;
      return;
    }
    bool IsKnownRed = std::ranges::find(this->KnownRed, TestedCell.name()) !=
                      this->KnownRed.end();
    this->FailureLines.push_back(
        (IsKnownRed ? "matrix: known red " : "matrix: FAILED ") +
        TestedCell.name() + ": " + *Result.Violation);
    ++(IsKnownRed ? this->KnownRedCount : this->FailedCount);
  }

  int report() {
    std::ranges::sort(this->FailureLines);
    for (const std::string &Each : this->FailureLines)
      std::printf("%s\n", Each.c_str());
    for (const std::string &Each : this->UnrecoverableCells)
      std::printf("matrix: beyond what can hold: %s\n", Each.c_str());
    CellCount Total;
    for (const auto &[Kind, KindCount] : this->Counts) {
      std::printf("matrix: script=%s cells=%zu held=%zu\n", Kind.c_str(),
                  KindCount.Cells, KindCount.Held);
      Total.Cells += KindCount.Cells;
      Total.Held += KindCount.Held;
    }
    std::printf("matrix: cells=%zu held=%zu known-red=%zu\n", Total.Cells,
                Total.Held, this->KnownRedCount);
    return this->FailedCount == 0 && Total.Cells > 0 ? 0 : 1;
  }

  Settings Options;
  std::vector<std::string> KnownRed;
  std::vector<Cell> Cells;
  std::atomic<std::size_t> NextIndex = 0;
  std::mutex Lock;
  std::map<std::string, CellCount> Counts;
  std::vector<std::string> FailureLines;
  std::vector<std::string> UnrecoverableCells;
  std::size_t KnownRedCount = 0;
  std::size_t FailedCount = 0;
};

} // namespace
} // namespace carobhinge::matrix

int main(int Count, char **Arguments) {
  carobhinge::matrix::Settings Options;
  CLI::App App("The fault matrix: every fault at every step.");
  App.add_option("--seed", Options.Seed, "seed of every random choice");
  App.add_option("--share", Options.Share, "cells tried, of 100");
  App.add_option("--threads", Options.Threads, "worlds at once");
  App.add_option("--only", Options.OnlyScript, "this script only");
  App.add_option("--cell", Options.OnlyCell, "this cell only, as printed");
  CLI11_PARSE(App, Count, Arguments);
  return carobhinge::matrix::Matrix(Options).run();
}
