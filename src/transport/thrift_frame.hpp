#pragma once

#include "hornbeamrail/error.hpp"

#include "peer_types.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeamrail {

/// Maximum size of the body of a frame between nodes.
inline constexpr std::uint32_t max_frame_bytes = 4 * 1024 * 1024;
inline constexpr std::size_t frame_header_bytes = 4;

/// @return a frame: 4 bytes of length, most significant byte first, then the message in the compact protocol;
/// `errc::too_large` above `max_frame_bytes`
result<std::string> encode_frame(const wire::PeerRequest& message);
result<std::string> encode_frame(const wire::PeerResponse& message);

/// Checks the length before the caller allocates memory for the body.
/// @return the length of the body that follows, `errc::too_large` above `max_frame_bytes`, or
/// `errc::parse_failed` for zero
result<std::uint32_t> decode_frame_length(const std::array<unsigned char, frame_header_bytes>& header);

/// @param body the body of a frame
/// @return the message, or `errc::parse_failed` when it is malformed or does not set exactly one union member
result<wire::PeerRequest> decode_peer_request(std::string_view body);
result<wire::PeerResponse> decode_peer_response(std::string_view body);

} // namespace hornbeamrail
