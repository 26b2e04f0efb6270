//===- LibStore/RecordCodec.cpp - Checksummed records in a byte string ----===//
///
/// \file
/// The payload and the other header fields enter the checksum; the magic number
/// does not, because decoding compares it.
///
//===----------------------------------------------------------------------===//

#include <LibCore/Hash.h>
#include <LibStore/RecordCodec.h>
#include <cstring>
#include <stdexcept>

namespace carobhinge {

namespace {

/// The header as stored in the file, in the byte order of the machine.
struct RecordHeader {
  std::uint32_t Magic = 0;
  std::uint32_t Length = 0;
  std::uint64_t DurableLength = 0;
  std::uint64_t Checksum = 0;
};
static_assert(sizeof(RecordHeader) == RecordHeaderBytes);

/// Starts every record, so that a search for intact records rejects most
/// offsets without computing a checksum. On a machine of the other byte order
/// the bytes read as another number, and no record is accepted.
constexpr std::uint32_t RecordMagic = 0x31524843;

} // namespace

static std::uint64_t checksum(const RecordHeader &Header,
                              std::string_view Payload) {
  std::uint64_t Seed =
      Header.DurableLength ^ (std::uint64_t(Header.Length) << 32U);
  return hash64(Payload, Seed);
}

void encodeRecord(std::string &Out, std::string_view Payload,
                  std::uint64_t DurableLength) {
  if (Payload.size() > UINT32_MAX)
    throw std::length_error("a record payload of 4 GiB or more");
  RecordHeader Header{.Magic = RecordMagic,
                      .Length = static_cast<std::uint32_t>(Payload.size()),
                      .DurableLength = DurableLength};
  Header.Checksum = checksum(Header, Payload);
  Out.append(reinterpret_cast<const char *>(&Header), sizeof(Header));
  Out.append(Payload);
}

std::optional<DecodedRecord> decodeRecord(std::string_view Bytes) {
  RecordHeader Header;
  if (Bytes.size() < sizeof(Header))
    return std::nullopt;
  std::memcpy(&Header, Bytes.data(), sizeof(Header));
  Bytes.remove_prefix(sizeof(Header));
  if (Header.Magic != RecordMagic || Header.Length > Bytes.size())
    return std::nullopt;
  std::string_view Payload = Bytes.substr(0, Header.Length);
  if (checksum(Header, Payload) != Header.Checksum)
    return std::nullopt;
  return DecodedRecord{.Payload = Payload,
                       .DurableLength = Header.DurableLength,
                       .Size = sizeof(Header) + Payload.size()};
}

} // namespace carobhinge
