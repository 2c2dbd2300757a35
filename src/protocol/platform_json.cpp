#include "protocol/platform_json.hpp"

#include "protocol/digest.hpp"
#include "protocol/json_reader.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <limits>

namespace hornbeamrail {

namespace json = boost::json;

namespace {

constexpr auto any_integer = std::numeric_limits<std::int64_t>::max();

/// Parses @p text as a JSON object and passes a reader of it to @p read.
/// @return the result of @p read, or nothing when it recorded a diagnostic
template <class Read>
auto decode(std::string_view text, Read&& read)
    -> std::optional<std::decay_t<decltype(read(std::declval<object_reader&>()))>> {
    boost::system::error_code failure;
    const auto document = json::parse(text, failure);
    if (failure) {
        return std::nullopt;
    }
    std::vector<diagnostic> findings;
    object_reader reader(document, "$", findings);
    auto value = read(reader);
    if (!findings.empty()) {
        return std::nullopt;
    }
    return value;
}

/// @return the decoded bytes; records a diagnostic when @p value is not base64 text
std::string read_bytes(const json::value& value, std::string_view name, object_reader& reader) {
    const auto* text = value.if_string();
    if (text == nullptr) {
        reader.report(name, "not a string", "send base64 text");
        return {};
    }
    auto bytes = base64_decode(*text);
    if (bytes.empty() && !text->empty()) {
        reader.report(name, "not base64", "send base64 text");
    }
    return bytes;
}

vm_listing read_listing(const json::value& value, std::string path, std::vector<diagnostic>& findings) {
    object_reader reader(value, std::move(path), findings);
    vm_listing listing;
    listing.vm.id = reader.required_string("id");
    listing.state = reader.required_string("state") == "leaving" ? vm_state::leaving : vm_state::live;
    listing.kind = reader.required_string("kind") == "entry" ? vm_kind::entry : vm_kind::worker;
    const auto address = parse_endpoint(reader.required_string("address"));
    if (!address) {
        reader.report("address", "not an IP address and port", "write it as 127.0.0.1:8080");
    }
    listing.vm.address = address.value_or(endpoint{});
    listing.vm.zone = reader.required_string("zone");
    listing.vm.rack = reader.optional_string("rack", "");
    listing.vm.pool = reader.optional_string("pool", "");
    listing.vm.cores = reader.optional_integer("cores", 0, 0, any_integer);
    listing.vm.memory_mb = reader.optional_integer("memory_mb", 0, 0, any_integer);
    listing.vm.accelerators = reader.optional_integer("accelerators", 0, 0, any_integer);
    return listing;
}

} // namespace

std::string encode_append(const std::vector<std::string>& records) {
    json::array encoded;
    encoded.reserve(records.size());
    for (const auto& record : records) {
        encoded.emplace_back(base64_encode(record));
    }
    return json::serialize(json::object{{"records", std::move(encoded)}});
}

std::optional<std::vector<std::string>> decode_append(std::string_view text) {
    return decode(text, [](object_reader& reader) {
        std::vector<std::string> records;
        for (const auto& record : reader.array("records", true)) {
            records.push_back(read_bytes(record, "records", reader));
        }
        return records;
    });
}

std::string encode_append_answer(log_offset first_offset) {
    return json::serialize(json::object{{"first_offset", first_offset}});
}

std::optional<log_offset> decode_append_answer(std::string_view text) {
    return decode(
        text, [](object_reader& reader) { return reader.required_integer("first_offset", 1, any_integer); });
}

std::string encode_log_read(const log_read& read) {
    json::array records;
    records.reserve(read.entries.size());
    for (const auto& entry : read.entries) {
        records.push_back(json::object{{"offset", entry.offset}, {"data", base64_encode(entry.data)}});
    }
    return json::serialize(
        json::object{{"first", read.first}, {"head", read.head}, {"records", std::move(records)}});
}

std::optional<log_read> decode_log_read(std::string_view text) {
    std::vector<diagnostic> entry_findings;
    auto read = decode(text, [&](object_reader& reader) {
        log_read parsed{.first = reader.required_integer("first", 1, any_integer),
                        .head = reader.required_integer("head", 1, any_integer),
                        .entries = {}};
        for (const auto& record : reader.array("records", true)) {
            object_reader entry(record, "$.records", entry_findings);
            const auto offset = entry.required_integer("offset", 1, any_integer);
            const auto* data = entry.find("data");
            parsed.entries.push_back({offset, data != nullptr ? read_bytes(*data, "data", entry) : ""});
        }
        return parsed;
    });
    return entry_findings.empty() ? std::move(read) : std::nullopt;
}

std::string encode_vm_list(const vm_list& list) {
    json::array vms;
    for (const auto& entry : list.vms) {
        vms.push_back(json::object{{"id", entry.vm.id},
                                   {"state", entry.state == vm_state::live ? "live" : "leaving"},
                                   {"address", to_string(entry.vm.address)},
                                   {"zone", entry.vm.zone},
                                   {"rack", entry.vm.rack},
                                   {"pool", entry.vm.pool},
                                   {"kind", entry.kind == vm_kind::worker ? "worker" : "entry"},
                                   {"cores", entry.vm.cores},
                                   {"memory_mb", entry.vm.memory_mb},
                                   {"accelerators", entry.vm.accelerators}});
    }
    return json::serialize(json::object{{"version", list.version}, {"vms", std::move(vms)}});
}

std::optional<vm_list> decode_vm_list(std::string_view text) {
    std::vector<diagnostic> entry_findings;
    auto list = decode(text, [&](object_reader& reader) {
        vm_list parsed{.version = reader.required_integer("version", 0, any_integer), .vms = {}};
        std::size_t index = 0;
        for (const auto& entry : reader.array("vms", true)) {
            parsed.vms.push_back(read_listing(entry, indexed_path("$.vms", index++), entry_findings));
        }
        return parsed;
    });
    return entry_findings.empty() ? std::move(list) : std::nullopt;
}

std::string encode_lease(const lease_message& lease) {
    return json::serialize(json::object{{"token", lease.token},
                                        {"ttl_ms", lease.ttl.count()},
                                        {"slots", lease.slots},
                                        {"running", lease.running},
                                        {"leaving", lease.leaving}});
}

std::optional<lease_message> decode_lease(std::string_view text) {
    return decode(text, [](object_reader& reader) {
        return lease_message{.token = reader.required_string("token"),
                             .ttl =
                                 std::chrono::milliseconds(reader.required_integer("ttl_ms", 1, 3'600'000)),
                             .slots = reader.required_integer("slots", 0, 1'000'000),
                             .running = reader.required_integer("running", 0, 1'000'000),
                             .leaving = reader.optional_bool("leaving", false)};
    });
}

} // namespace hornbeamrail
