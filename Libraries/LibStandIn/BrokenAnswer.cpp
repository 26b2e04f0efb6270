//===- LibStandIn/BrokenAnswer.cpp - Answers that are none ----------------===//

#include <LibStandIn/BrokenAnswer.h>

#include <array>
#include <cstdio>

namespace carobhinge {

using namespace std::string_view_literals;

static constexpr std::string_view LineEnd = "\r\n";
static constexpr std::string_view HeadEnd = "\r\n\r\n";
static constexpr std::string_view OtherAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";

static constexpr std::array Forms = {
    BrokenAnswer{.Name = "status 000", .StatusLine = "HTTP/1.1 000 OK"},
    BrokenAnswer{.Name = "status 001", .StatusLine = "HTTP/1.1 001 OK"},
    BrokenAnswer{.Name = "status 099", .StatusLine = "HTTP/1.1 099 OK"},
    BrokenAnswer{.Name = "status 000 before the answer",
                 .Before = "HTTP/1.1 000 OK\r\n\r\n"},
    BrokenAnswer{.Name = "status 600", .StatusLine = "HTTP/1.1 600 OK"},
    BrokenAnswer{.Name = "status 999", .StatusLine = "HTTP/1.1 999 OK"},
    BrokenAnswer{.Name = "101 before the answer",
                 .Before = "HTTP/1.1 101 Switching Protocols\r\n"
                           "Connection: Upgrade\r\nUpgrade: other\r\n\r\n"},
    BrokenAnswer{.Name = "status of two digits",
                 .StatusLine = "HTTP/1.1 20 OK"},
    BrokenAnswer{.Name = "status of four digits",
                 .StatusLine = "HTTP/1.1 2000 OK"},
    BrokenAnswer{.Name = "status with a sign", .StatusLine = "HTTP/1.1 +20 OK"},
    BrokenAnswer{.Name = "status with a letter",
                 .StatusLine = "HTTP/1.1 2x0 OK"},
    BrokenAnswer{.Name = "no status", .StatusLine = "HTTP/1.1 "},
    BrokenAnswer{.Name = "blank in a name", .Field = "Bad Name: x"},
    BrokenAnswer{.Name = "blank in a name, last field",
                 .Field = "Bad Name: x",
                 .IsFieldLast = true},
    BrokenAnswer{.Name = "tab in a name", .Field = "Bad\tName: x"},
    BrokenAnswer{.Name = "NUL in a name", .Field = "Bad\0Name: x"sv},
    BrokenAnswer{.Name = "control byte in a name", .Field = "Bad\x01Name: x"sv},
    BrokenAnswer{.Name = "control byte in a name, last field",
                 .Field = "Bad\x1fName: x"sv,
                 .IsFieldLast = true},
    BrokenAnswer{.Name = "DEL in a name", .Field = "Bad\x7fName: x"},
    BrokenAnswer{.Name = "bracket in a name", .Field = "Bad(Name: x"},
    BrokenAnswer{.Name = "byte above 127 in a name",
                 .Field = "Bad\xe9Name: x"sv},
    BrokenAnswer{.Name = "blank before a name", .Field = " Name: x"},
    BrokenAnswer{.Name = "tab before a name", .Field = "\tName: x"},
    BrokenAnswer{.Name = "blank after a name", .Field = "Name : x"},
    BrokenAnswer{
        .Name = "tab after a name", .Field = "Name\t: x", .IsFieldLast = true},
    BrokenAnswer{.Name = "no name", .Field = ": x"},
    BrokenAnswer{.Name = "no colon", .Field = "Name", .IsFieldLast = true},
    BrokenAnswer{.Name = "blank in a name of an interim head",
                 .Before = "HTTP/1.1 100 Continue\r\nBad Name: x\r\n\r\n"},
    BrokenAnswer{.Name = "control byte in a name of an interim head",
                 .Before = "HTTP/1.1 100 Continue\r\nBad\x01Name: x\r\n\r\n"sv},
    BrokenAnswer{.Name = "control byte in a value", .Field = "Name: \x01"sv},
    BrokenAnswer{.Name = "two lengths", .Field = "Content-Length: 1"},
    BrokenAnswer{.Name = "blank after the name of the length",
                 .Field = "Content-Length : 1"},
    BrokenAnswer{.Name = "coding gzip",
                 .Field = "Transfer-Encoding: gzip",
                 .IsChunked = true},
    BrokenAnswer{.Name = "coding identity",
                 .Field = "Transfer-Encoding: identity",
                 .IsChunked = true},
    BrokenAnswer{.Name = "unknown coding",
                 .Field = "Transfer-Encoding: made-up",
                 .IsChunked = true},
    BrokenAnswer{.Name = "coding after chunked",
                 .Field = "Transfer-Encoding: chunked, gzip",
                 .IsChunked = true},
    BrokenAnswer{.Name = "coding before chunked",
                 .Field = "Transfer-Encoding: gzip, chunked",
                 .IsChunked = true},
    BrokenAnswer{.Name = "coding in a line of its own before chunked",
                 .Field = "Transfer-Encoding: gzip\r\n"
                          "Transfer-Encoding: chunked",
                 .IsChunked = true},
    BrokenAnswer{.Name = "chunked twice",
                 .Field = "Transfer-Encoding: chunked, chunked",
                 .IsChunked = true},
    BrokenAnswer{.Name = "chunked in an answer of HTTP/1.0",
                 .StatusLine = "HTTP/1.0 200 OK",
                 .Field = "Transfer-Encoding: chunked",
                 .IsChunked = true},
    BrokenAnswer{.Name = "coding and a length",
                 .Field = "Transfer-Encoding: gzip",
                 .IsFieldLast = true},
    BrokenAnswer{.Name = "interim head with a coding",
                 .Before = "HTTP/1.1 100 Continue\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"},
    BrokenAnswer{.Name = "interim head with a length",
                 .Before = "HTTP/1.1 100 Continue\r\n"
                           "Content-Length: 5\r\n\r\n"},
    BrokenAnswer{.Name = "no answer at all",
                 .Before = "no answer in this protocol\r\n\r\n"},
};

std::span<const BrokenAnswer> brokenAnswers() { return Forms; }

static bool statesLength(std::string_view Line) {
  return Line.starts_with("Content-Length:") ||
         Line.starts_with("Transfer-Encoding:");
}

static std::string asChunk(std::string_view Data) {
  std::array<char, 32> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Data.size());
  return Size.data() + std::string(Data) + "\r\n0\r\n\r\n";
}

std::string BrokenAnswer::makeFrom(std::string_view Sound) const {
  if (!Sound.starts_with("HTTP/1.") ||
      Sound.find(HeadEnd) == std::string_view::npos)
    Sound = OtherAnswer;
  std::size_t BodyAt = Sound.find(HeadEnd) + HeadEnd.size();
  std::string_view Body = Sound.substr(BodyAt);
  std::string_view Lines = Sound.substr(0, BodyAt - LineEnd.size());
  std::string Text(this->Before);
  bool IsBodyChunked = false;
  for (bool IsFirst = true; !Lines.empty(); IsFirst = false) {
    std::size_t Length = Lines.find(LineEnd) + LineEnd.size();
    std::string_view Line = Lines.substr(0, Length);
    Lines.remove_prefix(Length);
    IsBodyChunked = IsBodyChunked || Line.starts_with("Transfer-Encoding:");
    if (IsFirst && !this->StatusLine.empty())
      Text += std::string(this->StatusLine) + std::string(LineEnd);
    else if (!this->IsChunked || !statesLength(Line))
      Text += Line;
    if (!this->Field.empty() && (this->IsFieldLast ? Lines.empty() : IsFirst))
      Text += std::string(this->Field) + std::string(LineEnd);
  }
  Text += LineEnd;
  return Text + (this->IsChunked && !IsBodyChunked ? asChunk(Body)
                                                   : std::string(Body));
}

} // namespace carobhinge
