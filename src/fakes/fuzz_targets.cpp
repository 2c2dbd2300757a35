#include "fakes/fuzz_targets.hpp"

#include "fakes/sample_records.hpp"
#include "hornbeamrail/fleet_config.hpp"
#include "hornbeamrail/node_settings.hpp"
#include "hornbeamrail/request_id.hpp"
#include "protocol/log_record.hpp"
#include "protocol/platform_json.hpp"
#include "state/snapshot.hpp"
#include "transport/thrift_frame.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <exception>

namespace hornbeamrail {

namespace {

constexpr std::array<std::string_view, 18> json_tokens{"null",
                                                       "true",
                                                       "false",
                                                       "[]",
                                                       "{}",
                                                       "\"\"",
                                                       "-1",
                                                       "0",
                                                       "1e308",
                                                       "-0.0",
                                                       "1.5",
                                                       "\"a\"",
                                                       "[[]",
                                                       "[null",
                                                       "\\u00",
                                                       "\xff\xfe",
                                                       "99999999999999999999",
                                                       ",,"};

std::size_t random_below(std::size_t bound, std::mt19937_64& generator) {
    return bound == 0 ? 0 : generator() % bound;
}

std::string read_settings(std::string_view bytes, bool& accepted) {
    error failure;
    accepted = value_or_error([&] { return parse_node_settings(bytes); }, failure).has_value();
    return accepted || !failure.remedy.empty() ? "" : "rejected without a remedy";
}

std::string read_fleet_config(std::string_view bytes, bool& accepted) {
    error failure;
    const auto config = value_or_error([&] { return parse_fleet_config(bytes); }, failure);
    accepted = config.has_value();
    if (!config) {
        return failure.remedy.empty() ? "rejected without a remedy" : "";
    }
    const auto text = boost::json::serialize(to_json(*config));
    const auto decoded_again = value_or_error([&] { return parse_fleet_config(text); }, failure);
    if (!decoded_again) {
        return "its encoded form is rejected: " + failure.message;
    }
    return boost::json::serialize(to_json(*decoded_again)) == text ? ""
                                                                   : "its encoded form decodes differently";
}

std::string read_log_record(std::string_view bytes, bool& accepted) {
    error failure;
    const auto record = value_or_error([&] { return decode_record(bytes); }, failure);
    accepted = record.has_value();
    if (!record) {
        return failure.remedy.empty() ? "rejected without a remedy" : "";
    }
    const auto encoded = encode_record(*record);
    const auto decoded_again = value_or_error([&] { return decode_record(encoded); }, failure);
    if (!decoded_again) {
        return "its encoded form is rejected: " + failure.message;
    }
    return encode_record(*decoded_again) == encoded ? "" : "its encoded form decodes differently";
}

std::string read_request_id(std::string_view bytes, bool& accepted) {
    const auto id = parse_request_id(bytes);
    accepted = id.has_value();
    const int partition = claim_partition_of(bytes);
    if (partition < 0 || partition >= claim_partition_count) {
        return "claim partition is out of range";
    }
    return !id || to_string(*id) == bytes ? "" : "the id differs from its encoded form";
}

/// Decodes a peer message and compares it with itself after a round trip.
template <class Message>
std::string read_peer_message(std::string_view bytes, bool& accepted,
                              result<Message> (*decode)(std::string_view)) {
    error failure;
    const auto message = value_or_error([&] { return decode(bytes); }, failure);
    accepted = message.has_value();
    if (!message) {
        return failure.remedy.empty() ? "rejected without a remedy" : "";
    }
    const auto frame = value_or_error([&] { return encode_frame(*message); }, failure);
    if (!frame) {
        return "its encoded form is rejected: " + failure.message;
    }
    const auto decoded_again =
        value_or_error([&] { return decode(std::string_view(*frame).substr(frame_header_bytes)); }, failure);
    return decoded_again && *decoded_again == *message ? "" : "its encoded form decodes differently";
}

std::string read_peer_request(std::string_view bytes, bool& accepted) {
    return read_peer_message<wire::PeerRequest>(bytes, accepted, decode_peer_request);
}

std::string read_peer_response(std::string_view bytes, bool& accepted) {
    return read_peer_message<wire::PeerResponse>(bytes, accepted, decode_peer_response);
}

std::string read_snapshot(std::string_view bytes, bool& accepted) {
    error failure;
    const auto state = value_or_error([&] { return snapshot_codec::decode(bytes); }, failure);
    accepted = state.has_value();
    return !state || snapshot_codec::encode(*state) == bytes ? ""
                                                             : "an accepted snapshot encodes differently";
}

std::string read_platform_answer(std::string_view bytes, bool& accepted) {
    const auto log = decode_log_read(bytes);
    const auto list = decode_vm_list(bytes);
    const auto lease = decode_lease(bytes);
    accepted = log || list || lease || decode_append_answer(bytes);
    if (log && encode_log_read(*decode_log_read(encode_log_read(*log))) != encode_log_read(*log)) {
        return "a log read decodes differently";
    }
    return !list || encode_vm_list(*decode_vm_list(encode_vm_list(*list))) == encode_vm_list(*list)
               ? ""
               : "a VM list decodes differently";
}

wire::Heartbeat sample_heartbeat() {
    wire::Demand demand;
    demand.__set_service_name("proof-render");
    demand.__set_team_name("harbor-games");
    demand.__set_running(3);
    wire::Heartbeat heartbeat;
    heartbeat.__set_incarnation(7);
    heartbeat.__set_node_id("entry-1");
    heartbeat.__set_zone("a");
    heartbeat.__set_log_age_ms(-1);
    heartbeat.__set_demand({demand, demand});
    return heartbeat;
}

template <class Message>
void add_seed(std::vector<std::string>& seeds, const Message& message) {
    error failure;
    const auto frame = value_or_error([&] { return encode_frame(message); }, failure);
    seeds.push_back(frame ? frame->substr(frame_header_bytes) : std::string());
}

const std::vector<std::string>& peer_request_seeds() {
    static const auto seeds = [] {
        std::vector<std::string> encoded;
        wire::PeerRequest request;
        request.__set_heartbeat(sample_heartbeat());
        add_seed(encoded, request);
        wire::FetchRecords fetch;
        fetch.__set_from_offset(99);
        request = {};
        request.__set_fetch_records(fetch);
        add_seed(encoded, request);
        wire::Claim claim;
        claim.__set_request_id("e17-0123abcd");
        claim.__set_claimant(7);
        request = {};
        request.__set_claim(claim);
        add_seed(encoded, request);
        wire::ResolveClaim resolve;
        resolve.__set_request_id("e17-0123abcd");
        resolve.__set_resolution(wire::ClaimResolution::ended);
        request = {};
        request.__set_resolve_claim(resolve);
        add_seed(encoded, request);
        return encoded;
    }();
    return seeds;
}

const std::vector<std::string>& peer_response_seeds() {
    static const auto seeds = [] {
        std::vector<std::string> encoded;
        wire::PeerResponse response;
        response.__set_heartbeat(sample_heartbeat());
        add_seed(encoded, response);
        wire::Record record;
        record.__set_offset(99);
        record.__set_data("bytes");
        wire::Records records;
        records.__set_records({record, record});
        response = {};
        response.__set_records(records);
        add_seed(encoded, response);
        wire::ClaimAnswer answer;
        answer.__set_status(wire::ClaimStatus::granted);
        response = {};
        response.__set_claim(answer);
        add_seed(encoded, response);
        return encoded;
    }();
    return seeds;
}

const std::vector<std::string>& snapshot_seeds() {
    static const auto seeds = [] {
        std::mt19937_64 generator(1);
        fleet_state state;
        for (std::size_t kind = 0; kind < record_kind_count; ++kind) {
            state.apply(state.next_offset(), sample_record(kind, generator));
        }
        return std::vector<std::string>{snapshot_codec::encode(fleet_state()), snapshot_codec::encode(state)};
    }();
    return seeds;
}

const std::vector<std::string>& platform_seeds() {
    static const std::vector<std::string> seeds{
        encode_append_answer(5),
        encode_log_read({.first = 2, .head = 9, .entries = {{.offset = 2, .data = "bytes"}}}),
        encode_lease({.token = "token", .running = 3}),
        encode_vm_list({.version = 4,
                        .vms = {{.vm = {.id = "vm-1",
                                        .address = {"10.0.0.1", 80},
                                        .zone = "a",
                                        .rack = "r",
                                        .pool = "p",
                                        .cores = 32,
                                        .memory_mb = 65536}}}})};
    return seeds;
}

const std::vector<std::string>& settings_seeds() {
    static const std::vector<std::string> seeds{
        R"({"node_id":"n1","zone":"a","region":"r","caller_address":"127.0.0.1:8101",)"
        R"("peer_address":"127.0.0.1:8201","admin_address":"[::1]:8301","platform":"127.0.0.1:8400",)"
        R"("peer_seeds":["127.0.0.1:8202","127.0.0.1:8203"],"worker_threads":2,"max_body_bytes":65536,)"
        R"("peer_tls":{"certificate":"c.pem","private_key":"k.pem","ca":"ca.pem"}})"};
    return seeds;
}

const std::vector<std::string>& fleet_config_seeds() {
    static const std::vector<std::string> seeds{boost::json::serialize(to_json(sample_fleet_config()))};
    return seeds;
}

const std::vector<std::string>& log_record_seeds() {
    static const auto seeds = [] {
        std::mt19937_64 generator(1);
        std::vector<std::string> encoded;
        for (std::size_t kind = 0; kind < record_kind_count; ++kind) {
            encoded.push_back(encode_record(sample_record(kind, generator)));
        }
        return encoded;
    }();
    return seeds;
}

const std::vector<std::string>& request_id_seeds() {
    static const std::vector<std::string> seeds{"e17-0123abcd", "e0-abcdefgh",
                                                "e9223372036854775807-A_b-c_d-"};
    return seeds;
}

constexpr std::array<fuzz_target, 8> targets{{
    {"node settings", read_settings, settings_seeds},
    {"fleet text", read_fleet_config, fleet_config_seeds},
    {"log record", read_log_record, log_record_seeds},
    {"request id", read_request_id, request_id_seeds},
    {"peer request", read_peer_request, peer_request_seeds},
    {"peer response", read_peer_response, peer_response_seeds},
    {"snapshot", read_snapshot, snapshot_seeds},
    {"platform answer", read_platform_answer, platform_seeds},
}};

void mutate_once(std::string& bytes, std::mt19937_64& generator) {
    const auto position = random_below(bytes.size() + 1, generator);
    const auto length = std::min(random_below(16, generator) + 1, bytes.size() - position);
    switch (generator() % 5) {
    case 0:
        if (position < bytes.size()) {
            bytes[position] = static_cast<char>(bytes[position] ^ (1 << (generator() % 8)));
        }
        return;
    case 1:
        bytes.erase(position, length);
        return;
    case 2:
        bytes.insert(position, bytes.substr(position, length));
        return;
    case 3:
        bytes.insert(position, random_bytes(8, generator));
        return;
    default:
        bytes.replace(position, length, json_tokens[random_below(json_tokens.size(), generator)]);
        return;
    }
}

boost::json::value random_value(std::mt19937_64& generator) {
    switch (generator() % 9) {
    case 0:
        return nullptr;
    case 1:
        return true;
    case 2:
        return static_cast<std::int64_t>(generator());
    case 3:
        return generator();
    case 4:
        return static_cast<double>(generator()) * 1e290;
    case 5:
        return boost::json::array{boost::json::object{}};
    case 6:
        return boost::json::object{{"name", 1}};
    case 7:
        return boost::json::string(random_bytes(12, generator));
    default:
        return -1;
    }
}

void mutate_value(boost::json::value& value, std::mt19937_64& generator) {
    if (auto* object = value.if_object(); object != nullptr && !object->empty()) {
        const auto member = object->begin() + random_below(object->size(), generator);
        if (generator() % 8 == 0) {
            object->erase(member);
        } else {
            mutate_value(member->value(), generator);
        }
        return;
    }
    if (auto* array = value.if_array(); array != nullptr && !array->empty()) {
        const auto element = array->begin() + random_below(array->size(), generator);
        if (generator() % 8 == 0) {
            array->push_back(*element);
        } else {
            mutate_value(*element, generator);
        }
        return;
    }
    value = random_value(generator);
}

} // namespace

std::span<const fuzz_target> fuzz_targets() {
    return targets;
}

std::string random_bytes(std::size_t max_size, std::mt19937_64& generator) {
    std::string bytes(random_below(max_size + 1, generator), '\0');
    for (auto& byte : bytes) {
        byte = static_cast<char>(generator());
    }
    return bytes;
}

std::string mutate_bytes(std::string bytes, std::mt19937_64& generator) {
    for (auto count = 1 + generator() % 8; count > 0; --count) {
        mutate_once(bytes, generator);
    }
    return bytes;
}

std::string mutate_json(const std::string& bytes, std::mt19937_64& generator) {
    boost::system::error_code failure;
    auto document = boost::json::parse(bytes, failure);
    if (failure) {
        return bytes;
    }
    mutate_value(document, generator);
    return boost::json::serialize(document);
}

std::string run_fuzz_case(const fuzz_target& target, std::mt19937_64& generator, std::string& input) {
    const auto& seeds = target.seeds();
    const auto& seed = seeds[random_below(seeds.size(), generator)];
    switch (generator() % 4) {
    case 0:
        input = random_bytes(256, generator);
        break;
    case 1:
        input = mutate_bytes(seed, generator);
        break;
    default:
        input = mutate_json(seed, generator);
        break;
    }
    try {
        bool accepted = false;
        return target.read(input, accepted);
    } catch (const std::exception& caught) {
        return std::string("threw: ") + caught.what();
    }
}

} // namespace hornbeamrail
