#include "hornbeamrail/node_settings.hpp"

#include "protocol/json_reader.hpp"

#include <boost/json/parse.hpp>
#include <fmt/format.h>

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <initializer_list>

namespace hornbeamrail {

namespace {

bool is_ip_address(const std::string& text) {
    if (text.find('\0') != std::string::npos) {
        return false; // inet_pton reads up to the zero byte
    }
    in6_addr storage{};
    return inet_pton(AF_INET, text.c_str(), &storage) == 1 ||
           inet_pton(AF_INET6, text.c_str(), &storage) == 1;
}

/// @return the endpoint; an empty one after a diagnostic, or when @p text is empty, which is reported
/// elsewhere
endpoint to_endpoint(object_reader& reader, std::string_view name, const std::string& text) {
    if (text.empty()) {
        return {};
    }
    auto parsed = parse_endpoint(text);
    if (!parsed) {
        reader.report(name, fmt::format("\"{}\" is not an IP address and port", text),
                      "write it as 127.0.0.1:8080 or [::1]:8080");
        return {};
    }
    return *parsed;
}

/// Records a diagnostic when another listener of the node uses the same address. Port 0 is exempt: the system
/// assigns a free port.
void check_own_port(object_reader& reader, std::string_view name, const endpoint& value,
                    std::initializer_list<endpoint> others) {
    if (value.port != 0 && std::find(others.begin(), others.end(), value) != others.end()) {
        reader.report(name, fmt::format("{} is used twice by this node", to_string(value)),
                      "give each listener an address and port of its own");
    }
}

std::optional<tls_files> read_tls(object_reader& parent, std::string_view name,
                                  std::vector<diagnostic>& findings) {
    const auto* value = parent.find(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    object_reader reader(*value, parent.path_of(name), findings);
    tls_files files{.certificate = reader.required_string("certificate"),
                    .private_key = reader.required_string("private_key"),
                    .ca = reader.required_string("ca")};
    reader.finish();
    return files;
}

} // namespace

std::optional<endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view address = text.substr(0, colon);
    if (address.starts_with('[') && address.ends_with(']')) {
        address = address.substr(1, address.size() - 2);
    } else if (address.find(':') != std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (failure != std::errc{} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    endpoint parsed{std::string(address), port};
    if (!is_ip_address(parsed.address)) {
        return std::nullopt;
    }
    return parsed;
}

std::string to_string(const endpoint& value) {
    if (value.address.find(':') != std::string::npos) {
        return fmt::format("[{}]:{}", value.address, value.port);
    }
    return fmt::format("{}:{}", value.address, value.port);
}

node_settings read_node_settings(const boost::json::value& document, std::vector<diagnostic>& diagnostics) {
    object_reader reader(document, "$", diagnostics);
    node_settings settings{
        .node_id = reader.required_string("node_id"),
        .zone = reader.required_string("zone"),
        .region = reader.required_string("region"),
        .caller_address = to_endpoint(reader, "caller_address", reader.required_string("caller_address")),
        .peer_address = to_endpoint(reader, "peer_address", reader.required_string("peer_address")),
        .admin_address = to_endpoint(reader, "admin_address", reader.required_string("admin_address")),
        .platform = to_endpoint(reader, "platform", reader.required_string("platform")),
        .peer_seeds = {},
        .worker_threads = reader.optional_integer("worker_threads", 2, 1, 64),
        .max_body_bytes = reader.optional_integer("max_body_bytes", 1024 * 1024, 1024, 64 * 1024 * 1024),
        .caller_tls = read_tls(reader, "caller_tls", diagnostics),
        .peer_tls = read_tls(reader, "peer_tls", diagnostics),
    };
    std::size_t index = 0;
    for (const auto& seed : reader.string_array("peer_seeds", false)) {
        settings.peer_seeds.push_back(to_endpoint(reader, indexed_path("peer_seeds", index), seed));
        ++index;
    }
    check_own_port(reader, "peer_address", settings.peer_address, {settings.caller_address});
    check_own_port(reader, "admin_address", settings.admin_address,
                   {settings.caller_address, settings.peer_address});
    reader.finish();
    return settings;
}

result<node_settings> parse_node_settings(std::string_view text) {
    boost::system::error_code failure;
    const auto document = boost::json::parse(text, failure);
    if (failure) {
        return make_error(errc::parse_failed, "settings are not JSON: " + failure.message(),
                          "check quotes, commas and brackets");
    }
    std::vector<diagnostic> diagnostics;
    auto settings = read_node_settings(document, diagnostics);
    if (!diagnostics.empty()) {
        const auto& first = diagnostics.front();
        return make_error(errc::invalid_argument, first.path + ": " + first.message, first.remedy);
    }
    return settings;
}

} // namespace hornbeamrail
