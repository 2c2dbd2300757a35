#include "transport/frame_stream.hpp"

#include "transport/thrift_frame.hpp"

#include <algorithm>

namespace hornbeamrail {

using boost::system::error_code;

io_task<std::string> read_frame(socket_stream& stream, std::string& failure) {
    std::array<unsigned char, frame_header_bytes> header{};
    error_code problem;
    for (std::size_t have = 0; have < header.size();) {
        const auto rest = boost::asio::buffer(header) + have;
        have += co_await stream.read_some(rest, problem);
        if (problem) {
            failure = have > 0 || problem != boost::asio::error::eof ? problem.message() : "";
            co_return "";
        }
    }
    error wrong;
    const auto length = value_or_error([&] { return decode_frame_length(header); }, wrong);
    if (!length) {
        failure = wrong.message;
        co_return "";
    }
    // Memory is taken as bytes arrive: a length alone must not make the receiver allocate megabytes.
    constexpr std::size_t step = 64 * 1024;
    std::string body;
    while (body.size() < *length) {
        const auto have = body.size();
        body.resize(std::min<std::size_t>(*length, have + step));
        const auto got = co_await stream.read_some(boost::asio::buffer(body) + have, problem);
        if (problem) {
            failure = "the frame was cut short: " + problem.message();
            co_return "";
        }
        body.resize(have + got);
    }
    co_return body;
}

} // namespace hornbeamrail
