//===- LibServe/AnswerPartOrder.h - The parts of a forwarded answer -------===//
///
/// \file
/// Decides which parts of a forwarded answer are passed on: one head, then
/// chunks, then one end. Another host may send any.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSERVE_ANSWERPARTORDER_H
#define LIBSERVE_ANSWERPARTORDER_H

#include <LibServe/Serve.pb.h>

namespace carobhinge {

class AnswerPartOrder {
public:
  /// Returns whether \p Part may follow the parts that were accepted before.
  [[nodiscard]] bool accept(const message::ForwardPart &Part) {
    if (this->HasEnd || Part.has_head() == this->HasHead)
      return false;
    this->HasHead = true;
    this->HasEnd = Part.has_end();
    return true;
  }

private:
  bool HasHead = false;
  bool HasEnd = false;
};

} // namespace carobhinge

#endif // LIBSERVE_ANSWERPARTORDER_H
