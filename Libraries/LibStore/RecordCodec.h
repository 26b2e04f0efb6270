//===- LibStore/RecordCodec.h - Checksummed records in a byte string ------===//
///
/// \file
/// A record is a header of fixed size followed by its payload. The checksum
/// covers the rest of the header and the payload.
///
//===----------------------------------------------------------------------===//

#ifndef LIBSTORE_RECORDCODEC_H
#define LIBSTORE_RECORDCODEC_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobhinge {

struct DecodedRecord {
  std::string_view Payload;
  /// Bytes of the file that were durable when the record was written.
  std::uint64_t Durable = 0;
  /// Header and payload, in bytes.
  std::uint64_t Size = 0;
};

/// Bytes that a record takes beside its payload.
inline constexpr std::uint64_t RecordHeaderBytes = 24;

void encodeRecord(std::string &Out, std::string_view Payload,
                  std::uint64_t Durable);

/// The record that begins at the front of \p Bytes, if an intact one does.
std::optional<DecodedRecord> decodeRecord(std::string_view Bytes);

} // namespace carobhinge

#endif // LIBSTORE_RECORDCODEC_H
