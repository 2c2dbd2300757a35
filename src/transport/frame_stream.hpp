#pragma once

// Internal to src/transport: includes Asio.

#include "transport/socket_stream.hpp"

#include <string>

namespace hornbeamrail {

/// Reads one length-prefixed frame. The length is checked before memory for the body is allocated.
/// @param failure receives the reason when no complete frame arrived; empty when the peer closed the
/// connection between frames
/// @return the body, or "" on failure
io_task<std::string> read_frame(socket_stream& stream, std::string& failure);

} // namespace hornbeamrail
