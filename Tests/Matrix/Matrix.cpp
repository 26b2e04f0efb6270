//===- Tests/Matrix/Matrix.cpp - Every fault at every step ----------------===//
///
/// \file
/// Tries the cells of all scripts on a few threads and prints what held. With
/// --share N only N of 100 cells are tried, chosen by the seed. A cell that
/// fails counts as known red if KNOWN-RED.txt names it as `cell NAME`; any
/// other failure makes the program fail.
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

/// Points tried for each ordered pair of faults.
constexpr std::size_t PointsPerPair = 12;

struct Settings {
  std::uint64_t Seed = 1;
  unsigned Share = 100;
  unsigned Threads = 3;
  std::string Only;
  std::string Cell;
};

struct Cell {
  const Script *Work = nullptr;
  std::vector<Injection> Faults;

  [[nodiscard]] std::string faultNames() const {
    std::string Text;
    for (const Injection &Each : this->Faults)
      Text += (Text.empty() ? "" : "+") + std::string(Each.Fault);
    return Text;
  }
  [[nodiscard]] std::string name() const {
    std::string Text(this->Work->name());
    char Mark = '/';
    for (const Injection &Each : this->Faults) {
      Text += Mark + std::string(Each.Fault) + "@" + std::to_string(Each.Point);
      Mark = '+';
    }
    return Text;
  }
};

class Matrix {
public:
  explicit Matrix(Settings Given) : Given(std::move(Given)) {}

  int run() {
    std::printf("matrix: seed=%llu share=%u%%\n",
                static_cast<unsigned long long>(this->Given.Seed),
                this->Given.Share);
    this->readKnownRed();
    for (const auto &Each : scripts())
      if (this->Given.Only.empty() || Each->name() == this->Given.Only)
        this->plan(*Each);
    std::vector<std::thread> Workers;
    for (unsigned Each = 0; Each < this->Given.Threads; ++Each)
      Workers.emplace_back([this] { this->work(); });
    for (std::thread &Each : Workers)
      Each.join();
    return this->report();
  }

private:
  struct Count {
    std::size_t Cells = 0;
    std::size_t Held = 0;
  };

  void readKnownRed() {
    std::ifstream File(CAROBHINGE_SOURCE_FOLDER "/KNOWN-RED.txt");
    for (std::string Line; std::getline(File, Line);) {
      std::istringstream Words(Line);
      for (std::string Word; Words >> Word;)
        if (Word == "cell" && Words >> Word)
          this->KnownRed.push_back(Word);
    }
  }

  /// Counts the points of an undisturbed run and lists the cells.
  void plan(const Script &Work) {
    Observation Plain = Work.run(this->Given.Seed, {});
    if (Plain.Broken || Plain.Points == 0) {
      std::printf("matrix: FAILED %s without a fault: %s\n",
                  std::string(Work.name()).c_str(),
                  Plain.Broken.value_or("no points").c_str());
      ++this->Failed;
      return;
    }
    std::mt19937_64 Random(this->Given.Seed);
    for (std::string_view Fault : Work.faults())
      for (std::size_t Point = 0; Point < Plain.Points; ++Point)
        this->add(Random, {&Work, {{Fault, Point}}});
    if (!Work.pairs())
      return;
    for (std::string_view First : Work.faults())
      for (std::string_view Second : Work.faults())
        for (std::size_t Each = 0; Each < PointsPerPair; ++Each) {
          std::size_t One = Random() % Plain.Points;
          std::size_t Two = Random() % Plain.Points;
          this->add(Random, {&Work,
                             {{First, std::min(One, Two)},
                              {Second, std::max(One, Two)}}});
        }
  }

  void add(std::mt19937_64 &Random, Cell Next) {
    bool Chosen = Random() % 100 < this->Given.Share;
    if (!this->Given.Cell.empty())
      Chosen = Next.name() == this->Given.Cell;
    if (Chosen)
      this->Cells.push_back(std::move(Next));
  }

  void work() {
    for (std::size_t At = this->Next++; At < this->Cells.size();
         At = this->Next++) {
      const Cell &Tried = this->Cells[At];
      Observation Seen = Tried.Work->run(this->Given.Seed, Tried.Faults);
      this->note(Tried, Seen);
    }
  }

  void note(const Cell &Tried, const Observation &Seen) {
    std::lock_guard<std::mutex> Guard(this->Lock);
    if (Seen.Beyond) {
      this->Beyond.push_back(Tried.name());
      return;
    }
    bool Pair = Tried.Faults.size() > 1;
    std::string Kind = std::string(Tried.Work->name()) +
                       (Pair ? " faults=pairs" : " fault=") +
                       (Pair ? "" : Tried.faultNames());
    Count &Counted = this->Counts[Kind];
    ++Counted.Cells;
    if (!Seen.Broken) {
      ++Counted.Held;
      return;
    }
    bool Known =
        std::ranges::find(this->KnownRed, Tried.name()) != this->KnownRed.end();
    this->Reds.push_back((Known ? "matrix: known red " : "matrix: FAILED ") +
                         Tried.name() + ": " + *Seen.Broken);
    ++(Known ? this->Known : this->Failed);
  }

  int report() {
    std::ranges::sort(this->Reds);
    for (const std::string &Each : this->Reds)
      std::printf("%s\n", Each.c_str());
    for (const std::string &Each : this->Beyond)
      std::printf("matrix: beyond what can hold: %s\n", Each.c_str());
    Count All;
    for (const auto &[Kind, Counted] : this->Counts) {
      std::printf("matrix: script=%s cells=%zu held=%zu\n", Kind.c_str(),
                  Counted.Cells, Counted.Held);
      All.Cells += Counted.Cells;
      All.Held += Counted.Held;
    }
    std::printf("matrix: cells=%zu held=%zu known-red=%zu\n", All.Cells,
                All.Held, this->Known);
    return this->Failed == 0 && All.Cells > 0 ? 0 : 1;
  }

  Settings Given;
  std::vector<std::string> KnownRed;
  std::vector<Cell> Cells;
  std::atomic<std::size_t> Next = 0;
  std::mutex Lock;
  std::map<std::string, Count> Counts;
  std::vector<std::string> Reds;
  std::vector<std::string> Beyond;
  std::size_t Known = 0;
  std::size_t Failed = 0;
};

} // namespace
} // namespace carobhinge::matrix

int main(int Count, char **Arguments) {
  carobhinge::matrix::Settings Given;
  CLI::App App("The fault matrix: every fault at every step.");
  App.add_option("--seed", Given.Seed, "seed of every random choice");
  App.add_option("--share", Given.Share, "cells tried, of 100");
  App.add_option("--threads", Given.Threads, "worlds at once");
  App.add_option("--only", Given.Only, "this script only");
  App.add_option("--cell", Given.Cell, "this cell only, as printed");
  CLI11_PARSE(App, Count, Arguments);
  return carobhinge::matrix::Matrix(Given).run();
}
