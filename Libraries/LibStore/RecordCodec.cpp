//===- LibStore/RecordCodec.cpp - Checksummed records in a byte string ----===//

#include <LibCore/Hash.h>
#include <LibStore/RecordCodec.h>
#include <cstring>
#include <stdexcept>

namespace carobhinge {

namespace {

/// As it stands in the file, in the byte order of the machine.
struct Header {
  std::uint32_t Magic = 0;
  std::uint32_t Length = 0;
  std::uint64_t Durable = 0;
  std::uint64_t Checksum = 0;
};
static_assert(sizeof(Header) == RecordHeaderBytes);

/// Lets a search for intact records pass over most positions quickly. It
/// reads otherwise on a machine of the other byte order.
constexpr std::uint32_t RecordMagic = 0x31524843;

} // namespace

static std::uint64_t checksum(const Header &Head, std::string_view Payload) {
  std::uint64_t Seed = Head.Durable ^ (std::uint64_t(Head.Length) << 32U);
  return hash64(Payload, Seed);
}

void encodeRecord(std::string &Out, std::string_view Payload,
                  std::uint64_t Durable) {
  if (Payload.size() > UINT32_MAX)
    throw std::length_error("a record of more than 4 GiB");
  Header Head{.Magic = RecordMagic,
              .Length = static_cast<std::uint32_t>(Payload.size()),
              .Durable = Durable};
  Head.Checksum = checksum(Head, Payload);
  Out.append(reinterpret_cast<const char *>(&Head), sizeof(Head));
  Out.append(Payload);
}

std::optional<DecodedRecord> decodeRecord(std::string_view Bytes) {
  Header Head;
  if (Bytes.size() < sizeof(Head))
    return std::nullopt;
  std::memcpy(&Head, Bytes.data(), sizeof(Head));
  Bytes.remove_prefix(sizeof(Head));
  if (Head.Magic != RecordMagic || Head.Length > Bytes.size())
    return std::nullopt;
  std::string_view Payload = Bytes.substr(0, Head.Length);
  if (checksum(Head, Payload) != Head.Checksum)
    return std::nullopt;
  return DecodedRecord{.Payload = Payload,
                       .Durable = Head.Durable,
                       .Size = sizeof(Head) + Payload.size()};
}

} // namespace carobhinge
