#include "cli/admin_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <memory>
#include <optional>

DEFINE_string(node, "127.0.0.1:8301",
              "admin address of an entry node; repeat the flag to add nodes, which are tried in turn");
DEFINE_int32(timeout_ms, 10000, "timeout in milliseconds for one node, and for the acceptance of a change");

namespace hornbeamrail::cli {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

/// The dump of a fleet of the size expected in two years (6,900 VMs, 770 teams) is well below this limit.
constexpr std::uint64_t max_response_bytes = 256ULL * 1024 * 1024;

/// One HTTP request over its own connection. `run()` blocks until the exchange ends or times out.
class http_exchange {
public:
    explicit http_exchange(std::chrono::milliseconds exchange_timeout)
        : stream(this->context), timeout(exchange_timeout) {
        this->parser.body_limit(max_response_bytes);
    }

    boost::system::error_code run(const endpoint& node, http::request<http::string_body> message) {
        boost::system::error_code failure;
        const auto address = asio::ip::make_address(node.address, failure);
        if (failure) {
            return failure;
        }
        this->request = std::move(message);
        this->stream.expires_after(this->timeout);
        this->stream.async_connect(asio::ip::tcp::endpoint(address, node.port),
                                   [this](boost::system::error_code code) { this->on_connected(code); });
        this->context.run();
        return this->result_code;
    }

    [[nodiscard]] const http::response<http::string_body>& response() const { return this->parser.get(); }

private:
    void on_connected(boost::system::error_code code) {
        if (code) {
            this->result_code = code;
            return;
        }
        http::async_write(
            this->stream, this->request,
            [this](boost::system::error_code failure, std::size_t) { this->on_written(failure); });
    }

    void on_written(boost::system::error_code code) {
        if (code) {
            this->result_code = code;
            return;
        }
        http::async_read(
            this->stream, this->buffer, this->parser,
            [this](boost::system::error_code failure, std::size_t) { this->result_code = failure; });
    }

    asio::io_context context{1};
    beast::tcp_stream stream;
    std::chrono::milliseconds timeout;
    http::request<http::string_body> request;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    boost::system::error_code result_code;
};

std::optional<admin_answer> send_request(const endpoint& node, std::chrono::milliseconds timeout,
                                         const http::request<http::string_body>& request,
                                         std::string& problems) {
    http_exchange exchange(timeout);
    if (const auto code = exchange.run(node, request); code) {
        problems += fmt::format("{}{}: {}", problems.empty() ? "" : "; ", to_string(node), code.message());
        return std::nullopt;
    }
    const auto& response = exchange.response();
    boost::system::error_code failure;
    auto body = boost::json::parse(response.body(), failure);
    if (failure) {
        problems += fmt::format("{}{}: answered with status {} but the body is not JSON",
                                problems.empty() ? "" : "; ", to_string(node), response.result_int());
        return std::nullopt;
    }
    return admin_answer{static_cast<int>(response.result_int()), std::move(body)};
}

std::string text_field(const boost::json::object& object, std::string_view name, std::string fallback) {
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::move(fallback);
}

} // namespace

admin_client::admin_client(std::vector<endpoint> node_list, std::chrono::milliseconds exchange_timeout)
    : nodes(std::move(node_list)), timeout(exchange_timeout) {}

result<admin_answer> admin_client::get(std::string_view target) {
    return this->exchange("GET", target, {});
}

result<admin_answer> admin_client::post(std::string_view target, const boost::json::value& body) {
    return this->exchange("POST", target, boost::json::serialize(body));
}

result<admin_answer> admin_client::exchange(std::string_view method, std::string_view target,
                                            const std::string& body) {
    http::request<http::string_body> request{http::string_to_verb(method), target, 11};
    request.set(http::field::connection, "close");
    if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = body;
    }
    request.prepare_payload();
    std::string problems;
    std::optional<admin_answer> last_answer;
    for (std::size_t attempt = 0; attempt < this->nodes.size(); ++attempt) {
        const auto index = (this->preferred_index + attempt) % this->nodes.size();
        request.set(http::field::host, to_string(this->nodes[index]));
        auto answer = send_request(this->nodes[index], this->timeout, request, problems);
        if (answer && answer->status < 500) {
            this->preferred_index = index;
            return std::move(*answer);
        }
        if (answer) {
            last_answer = std::move(answer);
        }
    }
    if (last_answer) {
        return std::move(*last_answer);
    }
    return make_error(errc::unreachable, fmt::format("no node answered ({})", problems),
                      "check --node and that the nodes are running, then repeat the command");
}

result<admin_client> make_admin_client() {
    std::vector<endpoint> nodes;
    std::string_view rest = FLAGS_node;
    while (!rest.empty()) {
        const auto comma = rest.find(',');
        const auto text = rest.substr(0, comma);
        const auto node = parse_endpoint(text);
        if (!node) {
            return make_error(errc::invalid_argument,
                              fmt::format("--node \"{}\" is not an IP address and port", text),
                              "write it as 127.0.0.1:8301 or [::1]:8301");
        }
        nodes.push_back(*node);
        rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
    }
    if (nodes.empty()) {
        return make_error(errc::invalid_argument, "--node is empty", "write it as 127.0.0.1:8301");
    }
    if (FLAGS_timeout_ms < 1) {
        return make_error(errc::invalid_argument, "--timeout_ms is below 1", "use for example 10000");
    }
    return admin_client(std::move(nodes), std::chrono::milliseconds(FLAGS_timeout_ms));
}

result<boost::json::value> fetch(admin_client& client, std::string_view target) {
    BOOST_LEAF_AUTO(answer, client.get(target));
    if (answer.status != 200) {
        return boost::leaf::new_error(error_of(answer));
    }
    return std::move(answer.body);
}

error error_of(const admin_answer& answer) {
    error failure{answer.status >= 500 ? errc::unavailable : errc::rejected,
                  fmt::format("the node answered with status {}", answer.status),
                  "repeat the command or name another --node"};
    if (const auto* object = answer.body.if_object()) {
        const auto kind = text_field(*object, "error", "");
        const auto message = text_field(*object, "message", failure.message);
        failure.message = kind.empty() ? message : fmt::format("{}: {}", kind, message);
        failure.remedy = text_field(*object, "remedy", failure.remedy);
    }
    return failure;
}

} // namespace hornbeamrail::cli
