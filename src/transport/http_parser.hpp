#pragma once

// Internal to src/transport and bench: includes Beast.

#include "transport/http_message.hpp"

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <type_traits>

namespace hornbeamrail {

/// Free space that each read reserves in a connection's buffer.
inline constexpr std::size_t read_chunk_bytes = 16 * 1024;

/// HTTP/1 parser that stores directly into the project's message types, without Beast's field container.
template <bool IsRequest>
class http_parser : public boost::beast::http::basic_parser<IsRequest> {
public:
    using message_type = std::conditional_t<IsRequest, http_request, http_response>;
    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;

    /// @param max_head_bytes limit of the head; a longer one fails with `http::error::header_limit`
    /// @param max_body_bytes limit of the body; a longer one fails with `http::error::body_limit`
    http_parser(std::uint32_t max_head_bytes, std::uint64_t max_body_bytes) {
        this->header_limit(max_head_bytes);
        this->body_limit(max_body_bytes);
        this->message.headers.reserve(10);
    }

    message_type message;

private:
    void on_request_impl(boost::beast::http::verb, string_view method, string_view target, int,
                         error_code&) override {
        if constexpr (IsRequest) {
            this->message.method.assign(method.data(), method.size());
            this->message.target.assign(target.data(), target.size());
        }
    }

    void on_response_impl(int code, string_view, int, error_code&) override {
        if constexpr (!IsRequest) {
            this->message.status = code;
        }
    }

    void on_field_impl(boost::beast::http::field id, string_view name, string_view value,
                       error_code&) override {
        // The parser handles the connection and framing fields itself; handlers do not need them.
        using known = boost::beast::http::field;
        if (id == known::content_length || id == known::connection || id == known::transfer_encoding) {
            return;
        }
        // Fields of a chunked trailer are discarded: they could be mistaken for fields of the head.
        if (!this->head_done) {
            this->message.headers.add(name, value);
        }
    }

    void on_header_impl(error_code&) override { this->head_done = true; }

    void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code&) override {
        if (length) {
            // The parser has checked the length against the limit. Beyond the first 64 KiB, memory is
            // allocated as bytes arrive.
            this->message.body.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(*length, 64 * 1024)));
        }
    }

    std::size_t on_body_impl(string_view bytes, error_code&) override {
        this->message.body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}

    std::size_t on_chunk_body_impl(std::uint64_t, string_view bytes, error_code&) override {
        this->message.body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_finish_impl(error_code&) override {}

    bool head_done = false;
};

} // namespace hornbeamrail
