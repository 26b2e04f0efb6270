//===- LibStandIn/EndlessForm.h - Messages that never end ----------------===//
///
/// \file
/// Ways to go on for ever after the head of a chunked HTTP message without
/// sending a byte of its body: a peer that waits for the end of a line keeps
/// everything.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSTANDIN_ENDLESSFORM_H
#define LIBSTANDIN_ENDLESSFORM_H

#include <array>
#include <string>
#include <string_view>

namespace carobhinge {

struct EndlessForm {
  std::string_view Name;
  /// What follows the head, once.
  std::string_view Beginning;
  /// What follows that, again and again.
  std::string_view Repeated;

  /// Returns whole repetitions of at least \p Bytes bytes in total.
  [[nodiscard]] std::string repeat(std::size_t Bytes) const {
    std::string Text;
    while (Text.size() < Bytes)
      Text += this->Repeated;
    return Text;
  }
};

inline constexpr std::array<EndlessForm, 5> EndlessChunkForms = {{
    {.Name = "extension of a chunk", .Beginning = "5;a=", .Repeated = "x"},
    {.Name = "digits of a size", .Beginning = "0", .Repeated = "0"},
    {.Name = "fields after the last chunk",
     .Beginning = "0\r\n",
     .Repeated = "Field: value\r\n"},
    {.Name = "one field after the last chunk",
     .Beginning = "0\r\nField: ",
     .Repeated = "x"},
    {.Name = "extension of the last chunk",
     .Beginning = "0;a=",
     .Repeated = "x"},
}};

} // namespace carobhinge

#endif // LIBSTANDIN_ENDLESSFORM_H
