//===- LibWire/MessageParser.cpp - Reads the messages of other hosts ------===//

#include <LibWire/MessageParser.h>

#include <google/protobuf/descriptor.h>
#include <google/protobuf/io/coded_stream.h>
#include <map>

namespace protobuf = google::protobuf;

namespace carobhinge {

/// What the allocator and a place in a list add to an object.
static constexpr std::size_t OverheadBytes = 32;
/// A text without its bytes, with its place in a list.
static constexpr std::size_t TextBytes = 64;
static constexpr std::size_t NumberBytes = 8;
/// An object takes less than a thousand bytes, and its shortest field two.
static constexpr std::size_t MaxBytesPerByte = 512;
/// The depth at which the parser ends too.
static constexpr int MaxDepth = 100;

namespace {

/// The forms of a field in a message.
enum WireType : std::uint32_t {
  Varint = 0,
  Fixed64 = 1,
  Length = 2,
  Fixed32 = 5
};

/// Adds up what one message takes, until that is more than a limit.
class MessageMeter {
public:
  explicit MessageMeter(std::size_t Limit) : Limit(Limit) {}

  /// Returns false for bytes that are no message, and past the limit. \p Type
  /// is null for fields that this release doesn't know.
  bool addFields(const protobuf::Descriptor &Type,
                 protobuf::io::CodedInputStream &In, int Depth) {
    if (Depth > MaxDepth)
      return false;
    while (std::uint32_t Tag = In.ReadTag()) {
      const protobuf::FieldDescriptor *Field =
          Type.FindFieldByNumber(static_cast<int>(Tag >> 3U));
      if (!this->addField(Field, Tag & 7U, In, Depth) ||
          this->Taken > this->Limit)
        return false;
    }
    return In.ConsumedEntireMessage();
  }
  [[nodiscard]] std::size_t taken() const { return this->Taken; }

private:
  bool addField(const protobuf::FieldDescriptor *Field, std::uint32_t Form,
                protobuf::io::CodedInputStream &In, int Depth) {
    std::uint64_t Ignored = 0;
    // Fields that this release doesn't know are kept as texts or numbers.
    this->Taken += Field != nullptr ? NumberBytes : TextBytes;
    switch (Form) {
    case WireType::Varint:
      return In.ReadVarint64(&Ignored);
    case WireType::Fixed64:
      return In.Skip(sizeof(std::uint64_t));
    case WireType::Fixed32:
      return In.Skip(sizeof(std::uint32_t));
    case WireType::Length:
      return this->addLongField(Field, In, Depth);
    default:
      return false;
    }
  }

  bool addLongField(const protobuf::FieldDescriptor *Field,
                    protobuf::io::CodedInputStream &In, int Depth) {
    int Size = 0;
    if (!In.ReadVarintSizeAsInt(&Size))
      return false;
    if (Field != nullptr &&
        Field->cpp_type() == protobuf::FieldDescriptor::CPPTYPE_MESSAGE) {
      this->Taken += this->objectBytes(*Field->message_type());
      auto Outer = In.PushLimit(Size);
      if (!this->addFields(*Field->message_type(), In, Depth + 1))
        return false;
      In.PopLimit(Outer);
      return true;
    }
    bool HoldsNumbers = Field != nullptr && Field->is_packable();
    auto Bytes = static_cast<std::size_t>(Size);
    this->Taken += HoldsNumbers ? NumberBytes * Bytes : TextBytes + Bytes;
    return In.Skip(Size);
  }

  /// Returns the size of an empty object of \p Type.
  std::size_t objectBytes(const protobuf::Descriptor &Type) {
    auto [Found, IsNew] = this->ObjectSizes.try_emplace(&Type);
    if (IsNew) {
      auto *Factory = protobuf::MessageFactory::generated_factory();
      const protobuf::Message *Empty = Factory->GetPrototype(&Type);
      Found->second = OverheadBytes + (Empty ? Empty->SpaceUsedLong() : 0);
    }
    return Found->second;
  }

  const std::size_t Limit;
  std::map<const protobuf::Descriptor *, std::size_t> ObjectSizes;
  std::size_t Taken = OverheadBytes;
};

} // namespace

std::optional<std::size_t>
measureParsedMessage(const protobuf::Descriptor &Type, std::string_view Bytes,
                     std::size_t Limit) {
  protobuf::io::CodedInputStream In(
      reinterpret_cast<const std::uint8_t *>(Bytes.data()),
      static_cast<int>(Bytes.size()));
  MessageMeter Meter(Limit);
  if (!Meter.addFields(Type, In, 0))
    return std::nullopt;
  return Meter.taken();
}

bool parseMessage(protobuf::Message &Out, std::string_view Bytes) {
  if (Bytes.size() > MaxParsedMessageBytes / MaxBytesPerByte &&
      !measureParsedMessage(*Out.GetDescriptor(), Bytes, MaxParsedMessageBytes))
    return false;
  return Out.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()));
}

} // namespace carobhinge
