#include "transport/http_message.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>

namespace hornbeamrail {

namespace {

constexpr char to_lower(char character) noexcept {
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

bool has_control_character(std::string_view text) noexcept {
    return std::any_of(text.begin(), text.end(), [](char character) {
        return character == '\r' || character == '\n' || character == '\0';
    });
}

/// The transport writes these headers itself; copies from a forwarded message could contradict them.
bool is_framing_header(std::string_view name) noexcept {
    switch (name.size()) {
    case 4:
        return equal_names(name, "Host");
    case 10:
        return equal_names(name, "Connection");
    case 14:
        return equal_names(name, "Content-Length");
    case 17:
        return equal_names(name, "Transfer-Encoding");
    default:
        return false;
    }
}

void append_number(std::string& text, std::size_t number) {
    char digits[24];
    const auto [end, failure] = std::to_chars(std::begin(digits), std::end(digits), number);
    text.append(digits, end);
}

bool append_headers(std::string& head, const http_headers& headers, std::size_t body_bytes) {
    for (const auto& header : headers) {
        if (is_framing_header(header.name)) {
            continue;
        }
        if (header.name.empty() || has_control_character(header.name) ||
            has_control_character(header.value)) {
            return false;
        }
        head.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    head.append("Content-Length: ");
    append_number(head, body_bytes);
    head.append("\r\n\r\n");
    return true;
}

} // namespace

bool equal_names(std::string_view left, std::string_view right) noexcept {
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(),
                      [](char a, char b) { return to_lower(a) == to_lower(b); });
}

const std::string* http_headers::find(std::string_view name) const noexcept {
    for (const auto& header : this->items) {
        if (equal_names(header.name, name)) {
            return &header.value;
        }
    }
    return nullptr;
}

std::string_view http_headers::value_or(std::string_view name, std::string_view fallback) const noexcept {
    const auto* value = this->find(name);
    return value != nullptr ? std::string_view(*value) : fallback;
}

void http_headers::set(std::string_view name, std::string_view value) {
    this->erase(name);
    this->add(name, value);
}

void http_headers::erase(std::string_view name) {
    std::erase_if(this->items, [&](const http_header& header) { return equal_names(header.name, name); });
}

void http_headers::erase_all(std::span<const std::string_view> names) {
    std::erase_if(this->items, [&](const http_header& header) {
        return std::any_of(names.begin(), names.end(),
                           [&](std::string_view name) { return equal_names(header.name, name); });
    });
}

http_response make_error_response(int status, std::string_view error, std::string_view message,
                                  std::string_view remedy, std::string_view outcome) {
    http_response response{.status = status};
    response.headers.add("Content-Type", "application/json");
    response.headers.add("Outcome", outcome);
    response.body = boost::json::serialize(boost::json::object{
        {"error", error}, {"message", message}, {"remedy", remedy}, {"outcome", outcome}});
    return response;
}

std::string_view reason_phrase(int status) noexcept {
    switch (status) {
    case 200:
        return "OK";
    case 202:
        return "Accepted";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Payload Too Large";
    case 422:
        return "Unprocessable Entity";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

bool append_request_head(std::string& head, const http_request& request, const endpoint& host) {
    if (has_control_character(request.target) || request.target.find(' ') != std::string::npos) {
        return false;
    }
    head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\nHost: ");
    const bool is_v6 = host.address.find(':') != std::string::npos;
    head.append(is_v6 ? "[" : "").append(host.address).append(is_v6 ? "]:" : ":");
    append_number(head, host.port);
    head.append("\r\n");
    return append_headers(head, request.headers, request.body.size());
}

bool append_response_head(std::string& head, const http_response& response, bool close) {
    head.append("HTTP/1.1 ");
    append_number(head, static_cast<std::size_t>(response.status));
    head.append(" ").append(reason_phrase(response.status)).append("\r\n");
    if (close) {
        head.append("Connection: close\r\n");
    }
    return append_headers(head, response.headers, response.body.size());
}

} // namespace hornbeamrail
