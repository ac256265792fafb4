/** @file codec.cpp Encodes messages with cereal's portable binary archive, after two bytes for wire version and kind. */
#include "wire/codec_func.h"

#include "core/text_func.h"
#include "wire/serialize_func.h"

#include <cereal/archives/portable_binary.hpp>

#include <exception>
#include <sstream>
#include <streambuf>
#include <utility>

namespace lavender {

namespace {

    constexpr size_t headerBytes = 3; ///< Wire version, kind, and cereal's byte order mark.
    constexpr uint8_t littleEndianMark = 1; ///< Byte order mark that cereal writes for little-endian data.

    /** Stream buffer that reads from a span without copying it. */
    class SpanBuffer final : public std::streambuf {
    public:
        explicit SpanBuffer(std::span<const uint8_t> bytes)
        {
            // setg() takes no pointer to const; the stream never writes.
            char* begin = const_cast<char*>(reinterpret_cast<const char*>(bytes.data()));
            this->setg(begin, begin, begin + bytes.size());
        }

        /** True if all bytes have been read. */
        bool isAtEnd() const { return this->gptr() == this->egptr(); }
    };

    /** Writes wire version, kind (index of the alternative in the variant) and content. */
    template <typename Variant>
    Bytes encodeVariant(const Variant& variant)
    {
        std::ostringstream stream;
        stream.put(static_cast<char>(wireVersion));
        stream.put(static_cast<char>(variant.index()));
        {
            cereal::PortableBinaryOutputArchive archive(stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
            std::visit([&archive](const auto& value) { archive(value); }, variant);
        }
        const std::string_view text = stream.view();
        return { text.begin(), text.end() };
    }

    /** Reads the content of the alternative with index @p kind. @return False if the variant has no such alternative. */
    template <typename Variant, size_t Index = 0>
    bool loadAlternative(cereal::PortableBinaryInputArchive& archive, size_t kind, Variant& variant)
    {
        if constexpr (Index < std::variant_size_v<Variant>) {
            if (kind != Index) {
                return loadAlternative<Variant, Index + 1>(archive, kind, variant);
            }
            archive(variant.template emplace<Index>());
            return true;
        }
        return false;
    }

    /** Reads what encodeVariant wrote. */
    template <typename Variant>
    absl::StatusOr<Variant> decodeVariant(std::span<const uint8_t> bytes)
    {
        if (bytes.size() < headerBytes) {
            return absl::InvalidArgumentError("message is shorter than its header of 3 bytes");
        }
        if (bytes[0] != wireVersion) {
            return absl::InvalidArgumentError(concat("wire version ", bytes[0], ": expected ", wireVersion));
        }
        if (bytes[headerBytes - 1] != littleEndianMark) {
            return absl::InvalidArgumentError(concat("byte order mark ", bytes[headerBytes - 1], ": expected ", littleEndianMark));
        }
        // cereal reads the byte order mark itself.
        SpanBuffer buffer(bytes.subspan(headerBytes - 1));
        std::istream stream(&buffer);
        Variant variant;
        try {
            cereal::PortableBinaryInputArchive archive(stream);
            if (!loadAlternative(archive, bytes[1], variant)) {
                return absl::InvalidArgumentError(concat("message kind ", bytes[1], " is unknown"));
            }
        } catch (const std::exception& error) {
            return absl::InvalidArgumentError(error.what());
        }
        if (!buffer.isAtEnd()) {
            return absl::InvalidArgumentError("unexpected bytes after the end of the message");
        }
        return variant;
    }

} // namespace

Bytes encodeMessage(const Message& message)
{
    return encodeVariant(message);
}

absl::StatusOr<Message> decodeMessage(std::span<const uint8_t> bytes)
{
    return decodeVariant<Message>(bytes);
}

Bytes encodePayload(const FlowPayload& payload)
{
    return encodeVariant(payload);
}

absl::StatusOr<FlowPayload> decodePayload(std::span<const uint8_t> bytes)
{
    return decodeVariant<FlowPayload>(bytes);
}

} // namespace lavender
