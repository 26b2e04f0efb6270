//===- Tests/LibHTTP/TestEventParser.cpp - Blocks of an event stream ------===//
///
/// \file
/// Guards against events that are not found, or found too late, since their
/// lines end in a way that the format allows and the parser does not know.
///
//===----------------------------------------------------------------------===//

#include <LibHTTP/EventParser.h>
#include <array>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

using namespace carobhinge;

namespace {

struct ParsedBlock {
  std::string Bytes;
  bool IsEvent = false;
  std::optional<std::string> Id;
};

constexpr std::array<std::string_view, 3> LineEnds = {"\n", "\r", "\r\n"};

/// A line feed that comes late is added to the block that it belongs to.
std::vector<ParsedBlock> parseAll(EventParser &Parser, std::string_view Bytes) {
  std::vector<ParsedBlock> Blocks;
  Parser.parse(Bytes, [&Blocks](const EventBlock &Block) {
    if (Block.IsRestOfLineEnd && !Blocks.empty())
      Blocks.back().Bytes += Block.Bytes;
    else
      Blocks.push_back({.Bytes = std::string(Block.Bytes),
                        .IsEvent = Block.IsEvent,
                        .Id = Block.Id ? std::optional<std::string>(*Block.Id)
                                       : std::nullopt});
  });
  return Blocks;
}

} // namespace

TEST(EventParser, ReadsTheFieldsThatTellWhatABlockIs) {
  struct Row {
    std::string_view Block;
    bool IsEvent;
    std::optional<std::string> Id;
  };
  using namespace std::string_view_literals;
  const std::array<Row, 13> Rows = {{
      {"data: x\n\n", true, std::nullopt},
      {"id: 7\ndata: x\n\n", true, "7"},
      {"id:7\n\n", true, "7"},
      {"id:  7 \n\n", true, " 7 "},
      {"id: 1\nid: 2\ndata\n\n", true, "2"},
      {"id\n\n", true, ""},
      {"id: 1526-0\r\rx", true, "1526-0"},
      {"id: a\0b\n\n"sv, true, std::nullopt},
      {"identity: 7\n\n", true, std::nullopt},
      {"\xEF\xBB\xBFid: 7\n\n", true, "7"},
      {": id: 7\n\n", false, std::nullopt},
      {"retry: 7\n\n", false, std::nullopt},
      {"\n", false, std::nullopt},
  }};
  for (const Row &Each : Rows) {
    EventParser Parser;
    std::vector<ParsedBlock> Blocks = parseAll(Parser, Each.Block);
    ASSERT_EQ(Blocks.size(), 1U) << Each.Block;
    EXPECT_EQ(Blocks[0].IsEvent, Each.IsEvent) << Each.Block;
    EXPECT_EQ(Blocks[0].Id, Each.Id) << Each.Block;
  }
}

// Guards against an event that waits for the byte after it.
TEST(EventParser, EventEndsWithTheLastByteThatItNeeds) {
  for (std::string_view First : LineEnds)
    for (std::string_view Second : LineEnds) {
      EventParser Parser;
      std::string Event = "data: x" + std::string(First);
      // These bytes are one line end.
      if (First == "\r" && Second == "\n")
        continue;
      EXPECT_TRUE(parseAll(Parser, Event).empty());
      EXPECT_EQ(parseAll(Parser, Second.substr(0, 1)).size(), 1U);
      EXPECT_FALSE(Parser.hasPartialBlock());
    }
}

// Guards against the line feed of a line end in two chunks that is taken for an
// empty line, or for the beginning of an event.
TEST(EventParser, LineEndInTwoChunksIsOne) {
  EventParser Parser;
  EXPECT_TRUE(parseAll(Parser, "data: x\r").empty());
  EXPECT_TRUE(parseAll(Parser, "\nid: 1\r\n").empty());
  EXPECT_EQ(parseAll(Parser, "\r").size(), 1U);
  std::vector<ParsedBlock> Rest = parseAll(Parser, "\n");
  ASSERT_EQ(Rest.size(), 1U);
  EXPECT_EQ(Rest[0].Bytes, "\n");
  EXPECT_FALSE(Parser.hasPartialBlock());
  EXPECT_EQ(parseAll(Parser, "\n").size(), 1U);
}

/// However lines end and the bytes are split into chunks, each block is found
/// once, and its bytes are those that came.
RC_GTEST_PROP(EventParser, FindsEachBlockOnce, ()) {
  auto Count = *rc::gen::inRange<std::size_t>(0, 12);
  std::vector<std::string> Expected;
  for (std::size_t I = 0; I < Count; ++I) {
    std::string Block;
    auto Lines = *rc::gen::inRange(1, 4);
    for (int Line = 0; Line <= Lines; ++Line) {
      if (Line < Lines)
        Block += Line == 0 ? "id: " + std::to_string(I) : "data: x";
      // A line feed after a carriage return would belong to it.
      bool IsAfterReturn = Line == Lines && Block.ends_with('\r');
      Block += LineEnds[*rc::gen::inRange<std::size_t>(IsAfterReturn, 3)];
    }
    Expected.push_back(Block);
  }
  std::string All;
  for (const std::string &Block : Expected)
    All += Block;
  EventParser Parser;
  std::vector<ParsedBlock> Found;
  for (std::string_view Rest = All; !Rest.empty();) {
    auto Length = *rc::gen::inRange<std::size_t>(1, Rest.size() + 1);
    for (ParsedBlock &Block : parseAll(Parser, Rest.substr(0, Length)))
      if (Block.Bytes == "\n" && !Found.empty())
        Found.back().Bytes += "\n";
      else
        Found.push_back(std::move(Block));
    Rest.remove_prefix(Length);
  }
  RC_ASSERT(Found.size() == Expected.size());
  for (std::size_t I = 0; I < Found.size(); ++I) {
    RC_ASSERT(Found[I].Bytes == Expected[I]);
    RC_ASSERT(Found[I].Id == std::to_string(I));
  }
  RC_ASSERT(!Parser.hasPartialBlock());
}

/// Whatever bytes come: none is lost, and the blocks don't depend on how the
/// bytes are split into chunks.
RC_GTEST_PROP(EventParser, ChunksDecideNothing, ()) {
  static constexpr std::string_view Alphabet = "\r\n\r\n: idata0\xEF\xBB\xBF";
  auto Length = *rc::gen::inRange<std::size_t>(0, 60);
  std::string All;
  for (std::size_t I = 0; I < Length; ++I)
    All += Alphabet[*rc::gen::inRange<std::size_t>(0, Alphabet.size())];
  EventParser AtOnce;
  std::vector<ParsedBlock> Expected = parseAll(AtOnce, All);
  EventParser InChunks;
  std::vector<ParsedBlock> Found;
  std::size_t Bytes = 0;
  for (std::string_view Rest = All; !Rest.empty();) {
    auto Chunk = *rc::gen::inRange<std::size_t>(1, Rest.size() + 1);
    InChunks.parse(Rest.substr(0, Chunk), [&](const EventBlock &Block) {
      Bytes += Block.Bytes.size();
      if (Block.IsRestOfLineEnd)
        Found.back().Bytes += Block.Bytes;
      else
        Found.push_back({.Bytes = std::string(Block.Bytes),
                         .IsEvent = Block.IsEvent,
                         .Id = Block.Id ? std::optional<std::string>(*Block.Id)
                                        : std::nullopt});
    });
    Rest.remove_prefix(Chunk);
  }
  RC_ASSERT(Bytes + InChunks.partialBytes() == All.size());
  RC_ASSERT(AtOnce.partialBytes() == InChunks.partialBytes());
  RC_ASSERT(Found.size() == Expected.size());
  for (std::size_t I = 0; I < Found.size(); ++I) {
    RC_ASSERT(Found[I].Bytes == Expected[I].Bytes);
    RC_ASSERT(Found[I].IsEvent == Expected[I].IsEvent);
    RC_ASSERT(Found[I].Id == Expected[I].Id);
  }
}
