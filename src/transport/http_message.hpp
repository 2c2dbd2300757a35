#pragma once

#include "hornbeamrail/node_settings.hpp"

#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hornbeamrail {

struct http_header {
    std::string name;
    std::string value;
};

/// Header fields in the order in which they were received or added. Names are case-insensitive.
class http_headers {
public:
    /// @return the value of the first field with this name, or nullptr
    [[nodiscard]] const std::string* find(std::string_view name) const noexcept;

    /// @return the value of the first field with this name, or @p fallback
    [[nodiscard]] std::string_view value_or(std::string_view name, std::string_view fallback) const noexcept;

    /// Appends a field, even if one with the same name exists.
    void add(std::string_view name, std::string_view value) {
        this->items.push_back({.name = std::string(name), .value = std::string(value)});
    }

    /// Replaces all fields with this name by a single one.
    void set(std::string_view name, std::string_view value);

    /// Removes all fields with this name.
    void erase(std::string_view name);

    /// Removes all fields whose name is in @p names.
    void erase_all(std::span<const std::string_view> names);

    [[nodiscard]] auto begin() const noexcept { return this->items.begin(); }
    [[nodiscard]] auto end() const noexcept { return this->items.end(); }
    [[nodiscard]] std::size_t size() const noexcept { return this->items.size(); }
    void reserve(std::size_t count) { this->items.reserve(count); }

private:
    std::vector<http_header> items;
};

struct http_request {
    std::string method = "GET";
    std::string target = "/";
    http_headers headers;
    std::string body;
};

struct http_response {
    int status = 200;
    http_headers headers;
    std::string body;
};

/// Makes an error response with the project's JSON error body.
/// @param status HTTP status code
/// @param error stable name of the error, for example "bad_request"
/// @param message what happened
/// @param remedy what the caller can do
/// @param outcome "not_run", "unknown" or "ran"; also sent in the `Outcome` header
http_response make_error_response(int status, std::string_view error, std::string_view message,
                                  std::string_view remedy, std::string_view outcome);

/// @return the reason phrase of a status code, "Status" for unlisted codes
std::string_view reason_phrase(int status) noexcept;

/// @return whether two header names are equal, ignoring ASCII case
bool equal_names(std::string_view left, std::string_view right) noexcept;

/// Appends the head of a request: request line, `Host`, the headers, `Content-Length` and the empty line.
/// @return false when a header contains a control character or the target a control character or space;
/// the contents of @p head are then unspecified
bool append_request_head(std::string& head, const http_request& request, const endpoint& host);

/// Appends the head of a response.
/// @param close whether to add `Connection: close`
/// @return false when a header contains a control character; the contents of @p head are then unspecified
bool append_response_head(std::string& head, const http_response& response, bool close);

} // namespace hornbeamrail
