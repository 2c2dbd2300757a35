#include "transport/thrift_frame.hpp"

#include <fmt/format.h>
#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <cstring>

namespace hornbeamrail {

namespace {

using memory_buffer = apache::thrift::transport::TMemoryBuffer;
using compact_protocol = apache::thrift::protocol::TCompactProtocolT<memory_buffer>;

/// The deepest message has 4 levels; the limit keeps a crafted frame from exhausting the stack.
constexpr int max_recursion = 16;

std::shared_ptr<apache::thrift::TConfiguration> limits() {
    return std::make_shared<apache::thrift::TConfiguration>(static_cast<int>(max_frame_bytes),
                                                            static_cast<int>(max_frame_bytes), max_recursion);
}

template <class Message>
result<std::string> encode(const Message& message) {
    const auto buffer = std::make_shared<memory_buffer>(512, limits());
    compact_protocol protocol(buffer);
    try {
        message.write(&protocol);
    } catch (const std::exception& failure) {
        return make_error(errc::too_large, std::string("cannot encode the message: ") + failure.what(),
                          "send it in smaller parts");
    }
    std::uint8_t* bytes = nullptr;
    std::uint32_t size = 0;
    buffer->getBuffer(&bytes, &size);
    if (size > max_frame_bytes) {
        return make_error(
            errc::too_large,
            fmt::format("message of {} bytes is above the frame limit of {}", size, max_frame_bytes),
            "send it in smaller parts");
    }
    std::string frame;
    frame.reserve(frame_header_bytes + size);
    for (int shift = 24; shift >= 0; shift -= 8) {
        frame.push_back(static_cast<char>((size >> shift) & 0xffU));
    }
    frame.append(reinterpret_cast<const char*>(bytes), size);
    return frame;
}

/// The generated reader stores any number in an enum. Copying a value outside the range of the enumerators is
/// already undefined behavior, so the bytes are checked before the message is used. 0 means that the field is
/// absent.
template <class Enum>
bool is_in_range(const Enum& value, std::int32_t last) {
    std::int32_t number = 0;
    static_assert(sizeof number == sizeof value);
    std::memcpy(&number, &value, sizeof number);
    return number >= 0 && number <= last;
}

bool has_valid_enums(const wire::PeerRequest& message) {
    return is_in_range(message.resolve_claim.resolution, wire::ClaimResolution::outcome_unknown);
}

bool has_valid_enums(const wire::PeerResponse& message) {
    return is_in_range(message.claim.status, wire::ClaimStatus::unavailable);
}

template <class Message>
result<Message> decode(std::string_view body) {
    // OBSERVE mode reads the bytes in place and never writes through the pointer.
    auto* bytes = reinterpret_cast<std::uint8_t*>(const_cast<char*>(body.data()));
    const auto buffer = std::make_shared<memory_buffer>(bytes, static_cast<std::uint32_t>(body.size()),
                                                        memory_buffer::OBSERVE, limits());
    // The element count of a container cannot exceed the size of the body.
    const auto max_elements = static_cast<int>(body.size());
    compact_protocol protocol(buffer, max_elements, max_elements);
    Message message;
    try {
        message.read(&protocol);
    } catch (const std::exception& failure) {
        return make_error(errc::parse_failed, std::string("malformed Thrift message: ") + failure.what(),
                          "check that both nodes run compatible versions");
    }
    if (!has_valid_enums(message)) {
        return make_error(errc::parse_failed, "Thrift message with an undefined enum value",
                          "check that both nodes run compatible versions");
    }
    return message;
}

result<void> require_one_member(int count) {
    if (count == 1) {
        return {};
    }
    return make_error(errc::parse_failed, fmt::format("message sets {} members of a union", count),
                      "check that both nodes run compatible versions");
}

} // namespace

result<std::string> encode_frame(const wire::PeerRequest& message) {
    return encode(message);
}

result<std::string> encode_frame(const wire::PeerResponse& message) {
    return encode(message);
}

result<std::uint32_t> decode_frame_length(const std::array<unsigned char, frame_header_bytes>& header) {
    std::uint32_t length = 0;
    for (const auto byte : header) {
        length = (length << 8U) | byte;
    }
    if (length == 0) {
        return make_error(errc::parse_failed, "frame without a body", "check that the peer is an entry node");
    }
    if (length > max_frame_bytes) {
        return make_error(errc::too_large,
                          fmt::format("frame of {} bytes is above the limit of {}", length, max_frame_bytes),
                          "check that the peer is an entry node");
    }
    return length;
}

result<wire::PeerRequest> decode_peer_request(std::string_view body) {
    BOOST_LEAF_AUTO(message, decode<wire::PeerRequest>(body));
    const auto& set = message.__isset;
    BOOST_LEAF_CHECK(require_one_member(set.heartbeat + set.fetch_records + set.fetch_snapshot + set.claim +
                                        set.resolve_claim));
    return message;
}

result<wire::PeerResponse> decode_peer_response(std::string_view body) {
    BOOST_LEAF_AUTO(message, decode<wire::PeerResponse>(body));
    const auto& set = message.__isset;
    BOOST_LEAF_CHECK(
        require_one_member(set.heartbeat + set.records + set.snapshot + set.claim + set.acknowledgement));
    return message;
}

} // namespace hornbeamrail
