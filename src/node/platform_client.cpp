#include "node/platform_client.hpp"

#include "protocol/json_reader.hpp"
#include "protocol/platform_json.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace hornbeamrail {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds call_timeout{2000};
constexpr std::uint64_t max_answer_bytes = 64 * 1024 * 1024;

vm_operation_state state_of(const std::optional<std::string>& body, const std::string& operation_id) {
    if (!body) {
        return vm_operation_state::failed;
    }
    boost::system::error_code failure;
    const auto document = json::parse(*body, failure);
    std::vector<diagnostic> found;
    object_reader reader(document, "$", found);
    const auto answered_id = reader.required_string("operation_id");
    const auto state = parse_vm_operation_state(reader.required_string("state"));
    if (failure || !found.empty() || !state) {
        return vm_operation_state::failed;
    }
    // The platform reports only the latest operation on the VM. A different id leaves the state of this one
    // unknown.
    return answered_id == operation_id ? *state : vm_operation_state::unknown;
}

} // namespace

platform_client::platform_client(io_threads& threads, endpoint address)
    : platform(std::move(address)),
      calls(threads, {.max_connections = 16, .max_body_bytes = max_answer_bytes}),
      appends(threads, {.max_connections = 1, .max_body_bytes = max_answer_bytes}) {}

void platform_client::call(http_client_pool& pool, http_request request, std::chrono::milliseconds timeout,
                           std::function<void(std::optional<std::string>)> done) {
    pool.call(
        {.target = this->platform, .request = std::move(request), .timeout = timeout, .correlation_id = {}},
        [done = std::move(done)](http_call_result result) {
            if (result.status == call_status::answered && result.response.status == 200) {
                done(std::move(result.response.body));
            } else {
                done(std::nullopt);
            }
        });
}

void platform_client::append(const std::vector<std::string>& records,
                             std::function<void(std::optional<log_offset>)> done) {
    this->call(
        this->appends,
        {.method = "POST", .target = "/log/fleet/append", .headers = {}, .body = encode_append(records)},
        call_timeout, [done = std::move(done)](const std::optional<std::string>& body) {
            done(body ? decode_append_answer(*body) : std::nullopt);
        });
}

void platform_client::read(log_offset from, std::int32_t max_records, std::chrono::milliseconds wait,
                           std::function<void(std::optional<log_read>)> done) {
    this->call(
        this->calls,
        {.method = "GET",
         .target = fmt::format("/log/fleet/read?from={}&max={}&wait_ms={}", from, max_records, wait.count()),
         .headers = {},
         .body = {}},
        wait + call_timeout, [done = std::move(done)](const std::optional<std::string>& body) {
            done(body ? decode_log_read(*body) : std::nullopt);
        });
}

void platform_client::list_vms(std::function<void(std::optional<vm_list>)> done) {
    this->call(this->calls, {.method = "GET", .target = "/vms", .headers = {}, .body = {}}, call_timeout,
               [done = std::move(done)](const std::optional<std::string>& body) {
                   done(body ? decode_vm_list(*body) : std::nullopt);
               });
}

void platform_client::operate(const std::string& vm, const std::string& command,
                              const std::string& operation_id, const std::string& pool,
                              std::function<void(vm_operation_state)> done) {
    this->call(this->calls,
               {.method = "POST",
                .target = fmt::format("/vms/{}/{}", vm, command),
                .headers = {},
                .body = json::serialize(json::object{{"operation_id", operation_id}, {"pool", pool}})},
               call_timeout, [done = std::move(done), operation_id](const std::optional<std::string>& body) {
                   done(state_of(body, operation_id));
               });
}

void platform_client::query_operation(const std::string& vm, const std::string& operation_id,
                                      std::function<void(vm_operation_state)> done) {
    this->call(this->calls,
               {.method = "GET", .target = fmt::format("/vms/{}/operation", vm), .headers = {}, .body = {}},
               call_timeout, [done = std::move(done), operation_id](const std::optional<std::string>& body) {
                   done(state_of(body, operation_id));
               });
}

} // namespace hornbeamrail
