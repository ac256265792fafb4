/** @file codec.cpp Messages by cereal's portable binary archive, behind two bytes: version and kind. */
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

    constexpr size_t headBytes = 3; ///< Version, kind, and cereal's mark of the byte order.
    constexpr uint8_t littleEndianMark = 1;

    /** Reads from a span without a copy. */
    class SpanBuffer final : public std::streambuf {
    public:
        explicit SpanBuffer(std::span<const uint8_t> bytes)
        {
            // The stream never writes; setg takes no pointer to const.
            char* begin = const_cast<char*>(reinterpret_cast<const char*>(bytes.data()));
            this->setg(begin, begin, begin + bytes.size());
        }

        bool isAtEnd() const { return this->gptr() == this->egptr(); }
    };

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

    /** Loads alternative number @p kind; false where there is none. */
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

    template <typename Variant>
    absl::StatusOr<Variant> decodeVariant(std::span<const uint8_t> bytes)
    {
        if (bytes.size() < headBytes) {
            return absl::InvalidArgumentError("message cut short");
        }
        if (bytes[0] != wireVersion) {
            return absl::InvalidArgumentError(concat("wire version ", bytes[0], ": expected ", wireVersion));
        }
        if (bytes[headBytes - 1] != littleEndianMark) {
            return absl::InvalidArgumentError(concat("byte order mark ", bytes[headBytes - 1], ": expected ", littleEndianMark));
        }
        SpanBuffer buffer(bytes.subspan(headBytes - 1));
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
            return absl::InvalidArgumentError("bytes left over");
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

Bytes encodeExchange(const Exchange& exchange)
{
    return encodeVariant(exchange);
}

absl::StatusOr<Exchange> decodeExchange(std::span<const uint8_t> bytes)
{
    return decodeVariant<Exchange>(bytes);
}

} // namespace lavender
