#include "transport/frame_stream.hpp"

#include "transport/thrift_frame.hpp"

#include <algorithm>

namespace hornbeamrail {

using boost::system::error_code;

io_task<std::string> read_frame(socket_stream& stream, std::string& failure) {
    std::array<unsigned char, frame_header_bytes> header{};
    error_code read_error;
    for (std::size_t received = 0; received < header.size();) {
        const auto rest = boost::asio::buffer(header) + received;
        received += co_await stream.read_some(rest, read_error);
        if (read_error) {
            failure = received > 0 || read_error != boost::asio::error::eof ? read_error.message() : "";
            co_return "";
        }
    }
    error length_error;
    const auto length = value_or_error([&] { return decode_frame_length(header); }, length_error);
    if (!length) {
        failure = length_error.message;
        co_return "";
    }
    // Memory is allocated as bytes arrive: a length field alone must not cause an allocation of megabytes.
    constexpr std::size_t chunk_bytes = 64 * 1024;
    std::string body;
    while (body.size() < *length) {
        const auto received = body.size();
        body.resize(std::min<std::size_t>(*length, received + chunk_bytes));
        const auto bytes_read = co_await stream.read_some(boost::asio::buffer(body) + received, read_error);
        if (read_error) {
            failure = "the frame is truncated: " + read_error.message();
            co_return "";
        }
        body.resize(received + bytes_read);
    }
    co_return body;
}

} // namespace hornbeamrail
