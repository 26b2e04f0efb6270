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

/// A decoded record. It refers to the byte string, which must outlive it.
struct DecodedRecord {
  std::string_view Payload;
  /// Length of the file in bytes that was durable when the record was written.
  std::uint64_t DurableLength = 0;
  /// Length of header and payload in bytes.
  std::uint64_t Size = 0;
};

/// Length of a record's header in bytes.
inline constexpr std::uint64_t RecordHeaderBytes = 24;

/// Appends a record to \p Out. \p DurableLength is the length of the file in
/// bytes that is durable now. \throws std::length_error if the payload is 4 GiB
/// or longer.
void encodeRecord(std::string &Out, std::string_view Payload,
                  std::uint64_t DurableLength);

/// Returns the record at the front of \p Bytes, or nothing if it is not intact.
std::optional<DecodedRecord> decodeRecord(std::string_view Bytes);

} // namespace carobhinge

#endif // LIBSTORE_RECORDCODEC_H
