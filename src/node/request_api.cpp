#include "node/request_api.hpp"

#include "protocol/digest.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace hornbeamrail {

namespace {

constexpr std::string_view service_prefix = "/v1/services/";
constexpr std::string_view service_suffix = "/requests";
constexpr std::string_view tasks_path = "/v1/tasks";
constexpr std::int64_t max_deadline_ms = 30000;
constexpr std::size_t max_request_id_length = 128;

refusal bad_request(std::string message, std::string remedy) {
    return {.error = "bad_request",
            .status = 400,
            .outcome = run_outcome::not_run,
            .message = std::move(message),
            .remedy = std::move(remedy),
            .retry_after = std::nullopt};
}

std::optional<bool> parse_bool(std::string_view text) {
    if (text == "true") {
        return true;
    }
    if (text == "false") {
        return false;
    }
    return std::nullopt;
}

bool is_printable(std::string_view text) {
    return std::all_of(text.begin(), text.end(),
                       [](char character) { return character > ' ' && character <= '~'; });
}

} // namespace

parsed_route parse_caller_route(std::string_view target) {
    if (target.starts_with(service_prefix) && target.ends_with(service_suffix) &&
        target.size() > service_prefix.size() + service_suffix.size()) {
        const auto name = target.substr(service_prefix.size(),
                                        target.size() - service_prefix.size() - service_suffix.size());
        return {name.find('/') == std::string_view::npos ? caller_route::service_request
                                                         : caller_route::unknown,
                name};
    }
    if (target == tasks_path) {
        return {caller_route::tasks, {}};
    }
    if (target.starts_with(tasks_path) && target.size() > tasks_path.size() + 1 &&
        target[tasks_path.size()] == '/') {
        return {caller_route::task, target.substr(tasks_path.size() + 1)};
    }
    if (target == "/v1/epoch") {
        return {caller_route::epoch, {}};
    }
    if (target == "/healthz") {
        return {caller_route::health, {}};
    }
    return {};
}

std::variant<incoming_request, refusal>
read_incoming_request(std::string_view service, const http_request& request, const std::string& fallback_id) {
    incoming_request parsed;
    parsed.service = service;
    parsed.body_bytes = request.body.size();
    for (const auto& header : request.headers) {
        if (equal_names(header.name, "Request-Deadline-Ms")) {
            std::int64_t value = 0;
            const auto* last = header.value.data() + header.value.size();
            const auto [end, failure] = std::from_chars(header.value.data(), last, value);
            if (failure != std::errc{} || end != last || value < 1 || value > max_deadline_ms) {
                return bad_request(fmt::format("Request-Deadline-Ms \"{}\" is not valid", header.value),
                                   fmt::format("send a number from 1 to {}", max_deadline_ms));
            }
            parsed.deadline = std::chrono::milliseconds(value);
        } else if (equal_names(header.name, "Request-Urgent") ||
                   equal_names(header.name, "Request-Idempotent")) {
            const auto value = parse_bool(header.value);
            if (!value) {
                return bad_request(fmt::format("{} \"{}\" is not valid", header.name, header.value),
                                   "send true or false");
            }
            (equal_names(header.name, "Request-Urgent") ? parsed.urgent : parsed.idempotent) = *value;
        } else if (equal_names(header.name, "Request-Id")) {
            if (header.value.empty() || header.value.size() > max_request_id_length ||
                !is_printable(header.value)) {
                return bad_request(
                    "Request-Id is not valid",
                    fmt::format("send at most {} printable characters", max_request_id_length));
            }
            parsed.request_id = header.value;
        } else if (equal_names(header.name, "Authorization")) {
            parsed.key_hash = key_hash_of(request.headers);
            if (!parsed.key_hash) {
                return bad_request("Authorization is not of the form \"Bearer <key>\"",
                                   "send the key as Authorization: Bearer <key>");
            }
        }
    }
    if (parsed.request_id.empty()) {
        if (!parsed.idempotent) {
            return bad_request("a request marked as non-idempotent needs a Request-Id",
                               "get an epoch from /v1/epoch and send Request-Id: e<epoch>-<token>");
        }
        parsed.request_id = fallback_id;
    }
    return parsed;
}

std::optional<std::string> key_hash_of(const http_headers& headers) {
    constexpr std::string_view scheme = "bearer ";
    const auto value = headers.value_or("Authorization", "");
    if (value.size() <= scheme.size() || !equal_names(value.substr(0, scheme.size()), scheme)) {
        return std::nullopt;
    }
    return sha256_hex(value.substr(scheme.size()));
}

http_response to_response(const refusal& answer) {
    auto response = make_error_response(answer.status, answer.error, answer.message, answer.remedy,
                                        to_string(answer.outcome));
    if (answer.retry_after) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*answer.retry_after);
        response.headers.add("Retry-After", std::to_string(std::max<std::int64_t>(1, seconds.count())));
    }
    return response;
}

http_response to_caller_response(http_response from_executor) {
    static constexpr std::array<std::string_view, 5> hop_headers{"Correlation-Id", "Keep-Alive", "Outcome",
                                                                 "Request-Id", "Hornbeamrail-Epoch"};
    from_executor.headers.erase_all(hop_headers);
    return from_executor;
}

} // namespace hornbeamrail
