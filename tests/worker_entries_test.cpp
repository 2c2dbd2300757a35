// Entries of another writer in the topic in which the workers register themselves.

#include "platform/adapter.hpp"
#include "platform/codec.hpp"
#include "platform/log_calls.hpp"
#include "platform/vm_calls.hpp"
#include "platform/worker_calls.hpp"
#include "policy/pool_moves.hpp"
#include "policy/worker_choice.hpp"
#include "protocol/digest.hpp"
#include "run_checks.hpp"
#include "scheduler_site.hpp"
#include "site/log_tail.hpp"
#include "site/site_node.hpp"
#include "transport/http_client_pool.hpp"
#include "transport/io_types.hpp"
#include "wire_standin.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <charconv>
#include <future>
#include <limits>
#include <map>
#include <set>
#include <stdexcept>

using namespace hornbeamrail;
using std::chrono::milliseconds;

namespace {

struct odd_text {
    std::string name;
    std::string value;
};

std::ostream& operator<<(std::ostream& out, const odd_text& odd) {
    return out << odd.name;
}

constexpr std::string_view good_entry =
    R"({"Service":"pool","Address":"10.0.0.1:8","Zone":"z","State":"ready","Version":"1.2","Slots":8,)"
    R"("ColdLeftMs":12.5,"Seq":7,"Capacity":{"Cpu":32000,"MemMb":64000,"Gpu":0},"Labels":["a","r1"],"born":7})";

std::string replaced(std::string text, const std::string& part, const std::string& with) {
    const auto at = text.find(part);
    BOOST_REQUIRE_MESSAGE(at != std::string::npos, part);
    return text.replace(at, part.size(), with);
}

std::string entry_with(const std::string& part, const std::string& with) {
    return replaced(std::string(good_entry), part, with);
}

std::string repeated(std::string_view text, std::size_t count) {
    std::string all;
    for (std::size_t number = 0; number < count; ++number) {
        all += text;
    }
    return all;
}

/// @return an array, closed or not, with @p levels levels
std::string nested_array(std::size_t levels, bool closed) {
    return repeated("[", levels) + (closed ? repeated("]", levels) : "");
}

std::string nested_object(std::size_t levels, bool closed) {
    return repeated(R"({"a":)", levels) + "1" + (closed ? repeated("}", levels) : "");
}

std::vector<odd_text> odd_numbers() {
    std::vector<odd_text> odd;
    const std::vector<std::string> numbers{"9223372036854775808",
                                           "18446744073709551616",
                                           "99999999999999999999",
                                           "1e308",
                                           "-1e308",
                                           "1e999",
                                           "-1e999",
                                           "1e99999999999",
                                           "-1",
                                           "1.5",
                                           "\"7\"",
                                           "null",
                                           "[]",
                                           "{}",
                                           "true"};
    for (const auto& number : numbers) {
        odd.push_back({"Cpu " + number, entry_with(R"("Cpu":32000)", R"("Cpu":)" + number)});
        odd.push_back({"MemMb " + number, entry_with(R"("MemMb":64000)", R"("MemMb":)" + number)});
        odd.push_back({"Gpu " + number, entry_with(R"("Gpu":0)", R"("Gpu":)" + number)});
        odd.push_back({"born " + number, entry_with(R"("born":7)", R"("born":)" + number)});
    }
    odd.push_back({"Cpu 0", entry_with(R"("Cpu":32000)", R"("Cpu":0)")});
    odd.push_back({"Cpu of int64", entry_with(R"("Cpu":32000)", R"("Cpu":9223372036854775807)")});
    odd.push_back({"born of int64", entry_with(R"("born":7)", R"("born":9223372036854775807)")});
    for (const std::string number : {"1e308", "1e999", "99999999999999999999", "\"7\"", "null", "[]"}) {
        odd.push_back({"Seq " + number, entry_with(R"("Seq":7)", R"("Seq":)" + number)});
        odd.push_back({"Slots " + number, entry_with(R"("Slots":8)", R"("Slots":)" + number)});
        odd.push_back({"ColdLeftMs " + number, entry_with("12.5", number)});
    }
    return odd;
}

std::vector<odd_text> odd_addresses() {
    std::vector<odd_text> odd;
    const std::vector<std::string> addresses{R"("10.0.0.1:0")",
                                             R"("10.0.0.1:65536")",
                                             R"("10.0.0.1:99999999999999999999")",
                                             R"("10.0.0.1:-1")",
                                             R"("10.0.0.1:+1")",
                                             R"("10.0.0.1: 8")",
                                             R"("10.0.0.1:8 ")",
                                             R"("10.0.0.1:8x")",
                                             R"("10.0.0.1:")",
                                             R"("10.0.0.1")",
                                             R"(":8")",
                                             R"("")",
                                             R"("host:8")",
                                             R"("10.0.0.1:8:9")",
                                             R"("::1:8")",
                                             R"("[::1:8")",
                                             R"("[]:8")",
                                             R"("10.0.0.1\u0000:8")",
                                             R"("10.0.0.1\r\n:8")",
                                             R"("10.0.0.1\u0000\r\nX-A: b:8")",
                                             R"("10.0.0.256:8")",
                                             R"("10.0.0.1:8e0")",
                                             "8",
                                             "null",
                                             R"(["10.0.0.1:8"])",
                                             R"({"Ip":"10.0.0.1","Port":8})"};
    for (const auto& address : addresses) {
        odd.push_back({"Address " + address, entry_with(R"("10.0.0.1:8")", address)});
    }
    return odd;
}

std::vector<odd_text> odd_fields() {
    std::vector<odd_text> odd;
    for (const std::string field : {R"("Service":"pool",)", R"("Address":"10.0.0.1:8",)", R"("Zone":"z",)",
                                    R"("State":"ready",)", R"("Cpu":32000,)", R"("Labels":["a","r1"],)"}) {
        odd.push_back({"without " + field, entry_with(field, "")});
    }
    odd.push_back({"without Capacity", entry_with(R"("Capacity":{"Cpu":32000,"MemMb":64000,"Gpu":0},)", "")});
    for (const std::string value : {"7", "null", "[]", "{}", "true", R"("")"}) {
        odd.push_back({"Service " + value, entry_with(R"("pool")", value)});
        odd.push_back({"Zone " + value, entry_with(R"("z")", value)});
        odd.push_back({"State " + value, entry_with(R"("ready")", value)});
    }
    for (const std::string value : {"7", "null", R"("a")", R"([1,"r1"])", R"(["a",null])"}) {
        odd.push_back({"Labels " + value, entry_with(R"(["a","r1"])", value)});
    }
    for (const std::string value : {"7", "null", "[]", R"("a")", "{}"}) {
        odd.push_back({"Capacity " + value, entry_with(R"({"Cpu":32000,"MemMb":64000,"Gpu":0})", value)});
    }
    for (const std::string value : {R"("Ready")", R"("gone")", R"("ready ")"}) {
        odd.push_back({"State " + value, entry_with(R"("ready")", value)});
    }
    odd.push_back({"long Service", entry_with("pool", std::string(100000, 'p'))});
    odd.push_back({"long Zone", entry_with(R"("z")", "\"" + std::string(100000, 'z') + "\"")});
    return odd;
}

std::vector<odd_text> odd_bytes() {
    return {{"empty", ""},
            {"space", " "},
            {"control bytes", std::string("\x01\x02\x00\x03", 4)},
            {"not UTF-8", entry_with("pool", "p\xff\xfe")},
            {"UTF-16", std::string("{\0\"\0}\0", 6)},
            {"half an entry", std::string(good_entry.substr(0, 60))},
            {"two entries", std::string(good_entry) + std::string(good_entry)},
            {"array", "[]"},
            {"number", "1e999"},
            {"text", "\"text\""},
            {"null", "null"},
            {"empty object", "{}"},
            {"lone surrogate", entry_with("pool", R"(\udcff)")},
            {"long text", std::string(200000, 'x')}};
}

std::vector<odd_text> odd_nesting() {
    std::vector<odd_text> odd;
    for (const std::size_t levels : {33U, 1000U, 50000U, 250000U}) {
        for (const bool closed : {false, true}) {
            const auto array = nested_array(levels, closed);
            const auto object = nested_object(levels, closed);
            const auto name = fmt::format("{} levels{}", levels, closed ? "" : ", not closed");
            odd.push_back({"array of " + name, array});
            odd.push_back({"object of " + name, object});
            odd.push_back({"known field, array of " + name, entry_with(R"("z")", array)});
            odd.push_back({"known field, object of " + name, entry_with(R"(["a","r1"])", object)});
            odd.push_back({"other field, array of " + name, entry_with(R"("1.2")", array)});
            odd.push_back({"other field, object of " + name, entry_with(R"("1.2")", object)});
        }
    }
    return odd;
}

std::vector<odd_text> all_odd_values() {
    std::vector<odd_text> all;
    for (auto&& part : {odd_numbers(), odd_addresses(), odd_fields(), odd_bytes(), odd_nesting()}) {
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

/// Keys that no worker has.
std::vector<std::string> odd_keys() {
    using namespace std::string_literals;
    return {""s,          std::string(255, 'k'),
            "k b"s,       "k&After=zz"s,
            "k%"s,        "k%41"s,
            "k%zz"s,      "k#b"s,
            "k+b"s,       "k=b"s,
            "k\r\nX: y"s, "k\0b"s,
            "\xff\xfe"s,  "k\xff"s,
            "k\xc3("s,    "k\u00e4"s,
            "k\"\\b"s,    "k/../b?c"s,
            " "s,         "\x01"s,
            "\x7f"s,      "k\xed\xb3\xbf"s};
}

std::optional<worker_entry> decode(std::string_view id, std::string_view text) {
    error ignored;
    return value_or_error([&] { return platform::decode_worker(id, text); }, ignored);
}

std::string big_endian(std::uint64_t value, int bytes) {
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text.push_back(static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU));
    }
    return text;
}

/// How a log writes the bytes of a key that are not UTF-8 into JSON.
enum class key_style { raw, replaced, surrogates };

std::ostream& operator<<(std::ostream& out, key_style style) {
    return out << static_cast<int>(style);
}

bool is_utf8(const std::string& text) {
    boost::system::error_code failure;
    std::string quoted = "\"";
    for (const char byte : text) {
        const bool is_plain = static_cast<unsigned char>(byte) >= 0x80;
        quoted += is_plain ? byte : 'a';
    }
    boost::json::parse(quoted + "\"", failure);
    return !failure;
}

std::string json_key(const std::string& key, key_style style) {
    const bool valid = is_utf8(key);
    std::string text;
    for (const char byte : key) {
        const auto code = static_cast<unsigned char>(byte);
        if (code >= 0x80 && !valid && style == key_style::surrogates) {
            text += fmt::format("\\udc{:02x}", code);
        } else if (code >= 0x80 && !valid && style == key_style::replaced) {
            text += "\\ufffd";
        } else if (code < 0x20 || byte == '"' || byte == '\\') {
            text += fmt::format("\\u{:04x}", code);
        } else {
            text += byte;
        }
    }
    return text;
}

/// A keyed topic as the platform's log serves it: pages of newest records and reads, as bytes.
class odd_topic {
public:
    std::size_t page_size = 2;
    key_style style = key_style::raw;
    bool decodes_queries = true; ///< decodes "%41" in the query

    void put(const std::string& key, const std::string& value) {
        this->newest[key] = value;
        this->history.push_back({.key = key, .value = value});
    }

    [[nodiscard]] http_call_result answer(const log_tail::read_request& request) const {
        if (const auto* call = std::get_if<newest_call>(&request)) {
            return this->page(platform::encode_newest(*call));
        }
        const auto& call = std::get<read_call>(request);
        std::string body = big_endian(this->history.size(), 8) + big_endian(0, 8);
        for (auto at = static_cast<std::size_t>(call.from); at < this->history.size(); ++at) {
            const auto& record = this->history[at];
            body += big_endian(1 + record.key.size() + record.value.size(), 4);
            body += big_endian(record.key.size(), 1) + record.key + record.value;
        }
        return {.status = call_status::answered, .response = {.status = 200, .body = std::move(body)}};
    }

private:
    [[nodiscard]] std::string after_of(const std::string& target) const {
        const auto at = target.find("&After=");
        if (at == std::string::npos) {
            return {};
        }
        auto text = target.substr(at + 7);
        text = text.substr(0, text.find_first_of("&#"));
        std::string decoded;
        for (std::size_t index = 0; index < text.size(); ++index) {
            unsigned value = 0;
            const bool is_encoded =
                this->decodes_queries && text[index] == '%' && index + 2 < text.size() &&
                std::from_chars(&text[index + 1], &text[index + 3], value, 16).ptr == &text[index + 3];
            decoded.push_back(is_encoded ? static_cast<char>(value) : text[index]);
            index += is_encoded ? 2 : 0;
        }
        return decoded;
    }

    [[nodiscard]] http_call_result page(const http_request& request) const {
        std::string head;
        if (!append_request_head(head, request, {.address = "127.0.0.1", .port = 1})) {
            return {.status = call_status::unsent, .failure = "the target cannot be sent"};
        }
        std::string items;
        std::size_t count = 0;
        const auto after = this->after_of(request.target);
        auto record = request.target.find("&After=") == std::string::npos ? this->newest.begin()
                                                                          : this->newest.upper_bound(after);
        for (; record != this->newest.end() && count < this->page_size; ++record, ++count) {
            items += fmt::format(R"({}{{"Key":"{}","Value":"{}","Offset":1}})", count == 0 ? "" : ",",
                                 json_key(record->first, this->style), base64_encode(record->second));
        }
        return {.status = call_status::answered,
                .response = {.status = 200,
                             .body = fmt::format(R"({{"items":[{}],"HasMore":{},"End":{}}})", items,
                                                 record != this->newest.end(), this->history.size())}};
    }

    std::map<std::string, std::string> newest;
    std::vector<keyed_record> history;
};

/// Follows an `odd_topic` as a node does.
class follower {
public:
    explicit follower(odd_topic& followed) : topic(followed) {}

    /// Sends up to @p requests requests; stops when the tail has every record.
    /// @return whether the tail is loaded
    bool follow(int requests) {
        for (int number = 0; number < requests; ++number) {
            this->now += std::chrono::seconds(2);
            const auto request = this->tail.tick(this->now);
            if (!request) {
                continue;
            }
            const auto result = this->topic.answer(*request);
            const auto apply = [this](const keyed_record& record) {
                if (auto entry = decode(record.key, record.value)) {
                    this->workers[record.key] = *entry;
                }
            };
            if (const auto* read = std::get_if<read_call>(&*request)) {
                this->tail.on_read(this->tail.latest_ticket(), platform::decode_read(*read, result), apply,
                                   this->now);
                return true;
            }
            this->tail.on_newest(this->tail.latest_ticket(), platform::decode_newest(result), apply,
                                 this->now);
        }
        return this->tail.is_loaded();
    }

    std::map<std::string, worker_entry> workers;

private:
    odd_topic& topic;
    log_tail tail{{.topic = log_topic::workers}};
    boot_time now{};
};

const std::vector<std::string> good_ids{"A1", "k", "kz", "m5", "z9"};

void check_good_workers(follower& reader, odd_topic& topic, const std::string& about) {
    constexpr int enough_requests = 200;
    BOOST_TEST(reader.follow(enough_requests), about << ": never loaded");
    for (const auto& id : good_ids) {
        BOOST_TEST(reader.workers.contains(id), about << ": no worker " << id);
    }
    // Later changes are followed.
    topic.put("odd-later", nested_array(100000, true));
    topic.put("m5", entry_with("ready", "draining"));
    BOOST_TEST(reader.follow(1), about << ": no read");
    BOOST_TEST(reader.workers["m5"].draining, about << ": a later change is not followed");
}

} // namespace

// Guards against an entry of another writer that is taken for a worker.
BOOST_AUTO_TEST_CASE(odd_entries_name_no_worker) {
    BOOST_REQUIRE(decode("w", good_entry).has_value());
    for (const auto& odd : all_odd_values()) {
        BOOST_TEST(!decode("w", odd.value).has_value(), odd.name);
    }
}

// Guards against ids that cannot be sent in a header or a query.
BOOST_AUTO_TEST_CASE(odd_keys_name_no_worker) {
    BOOST_TEST(decode(std::string(255, 'w'), good_entry).has_value());
    for (const auto& key : odd_keys()) {
        const bool is_sendable =
            !key.empty() &&
            key.find_first_not_of(
                "abcdefghijklmnopqrstuvwxyz0123456789%&#+=/.?\"\\ABCDEFGHIJKLMNOPQRSTUVWXYZ") ==
                std::string::npos;
        BOOST_TEST(decode(key, good_entry).has_value() == is_sendable, base64_encode(key));
    }
}

// Guards against rejecting entries that differ from the others only in optional fields.
BOOST_AUTO_TEST_CASE(entries_with_optional_fields_are_accepted) {
    for (const auto& text :
         {entry_with(R"(,"Gpu":0)", ""), entry_with(R"(,"born":7)", ""), entry_with(R"("Seq":7,)", ""),
          entry_with(R"("ready")", R"("draining","RemainingMs":100)"), entry_with("32000", "32000.0"),
          entry_with("32000", "3.2e4"), entry_with(R"("a","r1")", ""), entry_with("10.0.0.1", "[::1]"),
          entry_with("\"1.2\"", nested_array(20, true))}) {
        BOOST_TEST(decode("w", text).has_value(), text);
    }
}

// Guards against one odd entry that keeps a node from loading the list of workers, wherever it is in a page.
BOOST_DATA_TEST_CASE(workers_are_loaded_beside_odd_values,
                     boost::unit_test::data::make({std::size_t{1}, std::size_t{2}, std::size_t{3},
                                                   std::size_t{500}}),
                     page_size) {
    int number = 0;
    odd_topic topic;
    topic.page_size = page_size;
    for (const auto& odd : all_odd_values()) {
        if (odd.value.size() < 10000 || odd.value.size() > 100000) { // a few large ones are enough
            topic.put(fmt::format("odd{}", number++), odd.value);
        }
    }
    for (const auto& id : good_ids) {
        topic.put(id, std::string(good_entry));
    }
    follower reader(topic);
    BOOST_TEST(reader.follow(number + 20));
    BOOST_TEST(reader.workers.size() == good_ids.size());
    topic.put("m5", entry_with("ready", "draining"));
    BOOST_TEST(reader.follow(1));
    BOOST_TEST(reader.workers["m5"].draining);
}

// Guards against a key that cannot be sent as the start of the next page: the tail would repeat its request
// for ever.
BOOST_DATA_TEST_CASE(workers_are_loaded_beside_odd_keys,
                     boost::unit_test::data::make({std::size_t{1}, std::size_t{2}, std::size_t{3}}),
                     page_size) {
    for (const auto& key : odd_keys()) {
        if (key.empty() && page_size == 1) {
            continue; // no key follows that a request could name; a page of the platform holds several
                      // records
        }
        odd_topic topic;
        topic.page_size = page_size;
        topic.put(key, "odd");
        for (const auto& id : good_ids) {
            topic.put(id, std::string(good_entry));
        }
        follower reader(topic);
        check_good_workers(reader, topic, base64_encode(key));
    }
}

// Guards against the choice of a log how it writes such a key into JSON, and whether it decodes queries.
BOOST_DATA_TEST_CASE(workers_are_loaded_however_odd_keys_are_written,
                     boost::unit_test::data::make({key_style::raw, key_style::replaced,
                                                   key_style::surrogates}) *
                         boost::unit_test::data::make({false, true}),
                     style, decodes_queries) {
    for (const std::size_t page_size : {2U, 3U, 5U}) {
        for (const auto& key : odd_keys()) {
            odd_topic topic;
            topic.page_size = page_size;
            topic.style = style;
            topic.decodes_queries = decodes_queries;
            topic.put(key, "odd");
            for (const auto& id : good_ids) {
                topic.put(id, std::string(good_entry));
            }
            follower reader(topic);
            check_good_workers(reader, topic, fmt::format("{} by {}", base64_encode(key), page_size));
        }
    }
}

// Guards against a page without a readable record that ends the load before the last page.
BOOST_AUTO_TEST_CASE(page_of_unreadable_records_does_not_end_the_load) {
    const auto answered = [](std::string body) {
        return http_call_result{.status = call_status::answered,
                                .response = {.status = 200, .body = std::move(body)}};
    };
    log_tail tail({.topic = log_topic::workers});
    const auto ignore = [](const keyed_record&) {
    };
    BOOST_REQUIRE(tail.tick(boot_time(std::chrono::seconds(1))).has_value());
    tail.on_newest(tail.latest_ticket(),
                   platform::decode_newest(
                       answered(R"({"items":[{"Key":"a","Value":7},{"Key":"b"}],"HasMore":true,"End":9})")),
                   ignore, boot_time(std::chrono::seconds(1)));
    BOOST_TEST(!tail.is_loaded());
    const auto next = tail.tick(boot_time(std::chrono::seconds(2)));
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(std::get<newest_call>(*next).after_key == "b");
}

// Guards against a log that answers every request for a page with the same page.
BOOST_AUTO_TEST_CASE(repeated_page_ends_the_load) {
    log_tail tail({.topic = log_topic::workers});
    const auto page = platform::decode_newest(
        {.status = call_status::answered,
         .response = {.status = 200,
                      .body =
                          R"({"items":[{"Key":"a","Value":"dg==","Offset":1}],"HasMore":true,"End":3})"}});
    int pages = 0;
    for (int second = 1; second < 100 && !tail.is_loaded(); ++second) {
        const boot_time now{std::chrono::seconds(second)};
        if (tail.tick(now)) {
            ++pages;
            tail.on_newest(
                tail.latest_ticket(), page, [](const keyed_record&) {}, now);
        }
    }
    BOOST_TEST(tail.is_loaded());
    BOOST_TEST(pages <= 3);
    BOOST_TEST(tail.position() == 3);
}

// Guards the read of the log against records that are shorter than their key.
BOOST_AUTO_TEST_CASE(reads_pass_over_records_without_a_key) {
    const auto framed = [](const std::string& content) {
        return big_endian(content.size(), 4) + content;
    };
    const std::string good = big_endian(1, 1) + "w" + std::string(good_entry);
    const std::string body = big_endian(5, 8) + big_endian(0, 8) + framed("") + framed("\x09odd") +
                             framed(good) + framed(std::string("\0", 1)) + framed("\xff");
    const auto answer = platform::decode_read(
        {.from = 0}, {.status = call_status::answered, .response = {.status = 200, .body = body}});
    BOOST_TEST(answer.next == 5);
    BOOST_REQUIRE(answer.records.size() == 2);
    BOOST_TEST(answer.records[0].key == "w");
    BOOST_TEST(answer.records[0].offset == 2);
    BOOST_TEST(answer.records[1].key == "");
}

// Guards against operators' documents with numbers that no duration can hold.
BOOST_AUTO_TEST_CASE(odd_numbers_of_operators_stay_in_range) {
    error ignored;
    for (const std::string number :
         {"1e308", "1e999", "-1e308", "-1", "99999999999999999999", "\"7\"", "9223372036854775807"}) {
        const auto wave = value_or_error(
            [&] {
                return platform::decode_wave(R"({"Wave":1,"Machines":["m"],"DurationS":)" + number + "}");
            },
            ignored);
        BOOST_REQUIRE_MESSAGE(wave.has_value(), number);
        BOOST_TEST(wave->duration.count() >= 0, number);
        BOOST_TEST((wave->duration <= job_limits::max_duration), number);
        const auto config = value_or_error(
            [&] {
                return platform::decode_config(
                    R"({"Version":1,"Services":[],"Routes":[{"Name":"r","Stretch":)" + number +
                    R"(,"TargetDurationMs":)" + number + R"(,"Advice":{"ValidMs":)" + number + "}}]}");
            },
            ignored);
        BOOST_REQUIRE_MESSAGE(config.has_value(), number);
        const auto& queue = config->queues.at(0);
        BOOST_TEST(queue.objective_factor >= 0, number);
        BOOST_TEST(queue.objective_factor <= 1000, number);
        for (const auto duration : {queue.objective_slack, queue.advice->ticket_lifetime}) {
            BOOST_TEST(duration.count() >= 0, number);
            BOOST_TEST((duration <= job_limits::max_duration), number);
        }
    }
    for (const auto& odd : odd_nesting()) {
        BOOST_TEST(!value_or_error([&] { return platform::decode_config(odd.value); }, ignored), odd.name);
        BOOST_TEST(!value_or_error([&] { return platform::decode_wave(odd.value); }, ignored), odd.name);
    }
}

// Guards against an order for a VM without a name, and against a page token that cannot be sent.
BOOST_AUTO_TEST_CASE(odd_rows_of_the_vm_list_are_left_out) {
    const auto page = platform::decode_list_vms(
        {.status = call_status::answered,
         .response = {.status = 200, .body = R"({"Machines":[7,{},{"Machine":""},{"Machine":5},
                          {"Machine":"m","State":7,"Capacity":{"Cpu":1e999,"MemMb":9223372036854775807}},
                          {"Machine":"n","Capacity":{"Cpu":-5,"MemMb":100}}],"NextToken":"a b&c"})"}});
    BOOST_REQUIRE(page.vms.size() == 2);
    BOOST_TEST(page.vms[0].id == "m");
    for (const auto& vm : page.vms) {
        BOOST_TEST(vm.capacity.cpu_millicores == 0);
        BOOST_TEST(vm.capacity.memory_mb >= 0);
        BOOST_TEST(vm.capacity.memory_mb <= job_limits::max_resource);
    }
    BOOST_TEST(platform::encode_list_vms(page.next_page).target.ends_with("PageToken=a%20b%26c"));
}

// Guards against an answer of another server at a worker's address with times that no clock shows.
BOOST_AUTO_TEST_CASE(odd_numbers_of_a_hold_report_are_left_out) {
    for (const std::string number : {"9223372036854775807", "1e999", "-1", "99999999999999999999"}) {
        const auto report =
            platform::decode_hold({.status = call_status::answered,
                                   .response = {.status = 200,
                                                .body = R"({"Running":[],"Ended":[],"ClockMs":)" + number +
                                                        R"(,"born":)" + number + "}"}});
        BOOST_TEST(!report.worker_clock.has_value(), number);
        BOOST_TEST(report.instance_started_ms == 0, number);
    }
}

// Guards against demand beyond the range of 32 bits, which made a pool need no VM.
BOOST_AUTO_TEST_CASE(absurd_demand_needs_many_vms) {
    const auto most = needed_vms({.waiting_millicores = 1e15, .vm_millicores = 1});
    BOOST_TEST(most > 1000000);
    BOOST_TEST(most < std::numeric_limits<std::int32_t>::max());
    BOOST_TEST(needed_vms({.waiting_millicores = 1e300, .vm_millicores = 1}) == most);
}

// Guards against the capacity of an entry that nobody answers for: the pool seemed to need no further VM.
BOOST_AUTO_TEST_CASE(absurd_capacity_keeps_no_vm_from_a_pool) {
    test::scheduler_site site(9);
    site.add_vms(2);
    site.add_vms(4, "spare");
    site.take_over();
    site.run(milliseconds(4000));
    site.unanswered_workers.insert("odd");
    for (int job = 0; job < 30; ++job) {
        auto spec = test::batch_job(6, 4000);
        spec.account.clear();
        site.submit(spec);
    }
    for (int part = 0; part < 40; ++part) {
        site.schedule->on_worker(
            {.id = "odd",
             .instance_started_ms = 1,
             .pool = "pool",
             .address = {.address = "10.9.9.9", .port = 9},
             .zone = "zone-a",
             .capacity = {.cpu_millicores = job_limits::max_resource, .memory_mb = job_limits::max_resource},
             .labels = {"a", "r1"}},
            site.now);
        site.run(milliseconds(100));
    }
    std::set<std::string> used;
    for (const auto& run : site.site.history()) {
        used.insert(run.worker);
    }
    BOOST_TEST(used.size() >= 5);
    BOOST_TEST(!used.contains("odd"));
}

// Guards the choice of a worker against capacities whose product is beyond 64 bits.
BOOST_AUTO_TEST_CASE(largest_capacities_are_compared_without_overflow) {
    const resources largest{.cpu_millicores = job_limits::max_resource,
                            .memory_mb = job_limits::max_resource,
                            .accelerators = job_limits::max_resource};
    std::vector<worker_view> workers;
    for (const std::string_view id : {"a", "b", "c"}) {
        workers.push_back({.id = id, .rack = "r", .available = largest, .capacity = largest});
    }
    BOOST_TEST(choose_worker(workers, {.need = {.cpu_millicores = 1}}).has_value());
    BOOST_TEST(choose_rack(workers, {.cpu_millicores = 1}, 10) == "r");
}

namespace {

/// Fails on some entries in a way that no entry is known to cause.
struct throwing_codec : platform::codec {
    static result<worker_entry> worker(std::string_view id, std::string_view text) {
        if (text == "throw") {
            throw std::runtime_error("the entry cannot be decoded");
        }
        return platform::decode_worker(id, text);
    }
};

using test_node = site_node<platform::adapter, throwing_codec>;

/// A node that follows the fake platform over HTTP, with two workers that fit two tasks each.
struct node_fixture {
    node_fixture() {
        this->standin->set_page_size(2);
        this->standin->write_config(R"({"Version":1,
            "Routes":[{"Name":"r","Host":"127.0.0.1","PathPrefix":"/q/","Service":"pool","Attempts":2}],
            "Services":[{"Name":"pool","RejectsOverload":true}],"Tenants":[{"Name":"t","ApiKeys":["key"]}]})");
        this->standin->with_state([](fake_keyed_log&, fake_site& site) {
            site.set_duration(milliseconds(100));
            for (const std::string vm : {"m1", "m2"}) {
                site.add_vm(vm, "pool", "z", "r1", {.cpu_millicores = 2000, .memory_mb = 4000},
                            boot_clock::now());
            }
        });
        this->standin->publish_workers(this->standin->address());
    }

    ~node_fixture() { this->threads.stop(); }

    void start_node() {
        const auto free_address = [] {
            boost::asio::io_context context;
            boost::asio::ip::tcp::acceptor probe(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
            return endpoint{.address = "127.0.0.1", .port = probe.local_endpoint().port()};
        };
        site_node_settings settings{.node_id = "n",
                                    .zone = "z",
                                    .caller_address = free_address(),
                                    .ready_address = free_address(),
                                    .log_address = this->standin->address(),
                                    .vm_address = this->standin->address()};
        settings.limits.job_partitions = 1;
        error failure;
        auto made = value_or_error(
            [&] { return test_node::make(this->threads, {.settings = settings, .incarnation = "i"}); },
            failure);
        BOOST_REQUIRE_MESSAGE(made.has_value(), failure.message);
        this->node = *made;
        this->address = settings.caller_address;
    }

    http_response call(std::string method, std::string path, std::string body = {}) {
        http_request request{.method = std::move(method), .target = std::move(path), .body = std::move(body)};
        request.headers.add("X-Api-Key", "key");
        std::promise<http_call_result> result;
        this->client.call(
            {.target = this->address, .request = std::move(request), .timeout = milliseconds(4000)},
            [&result](http_call_result value) { result.set_value(std::move(value)); });
        return result.get_future().get().response;
    }

    /// Repeats @p attempt until it returns true, for up to @p limit.
    template <class Attempt>
    bool within(std::chrono::seconds limit, Attempt attempt) {
        const auto deadline = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < deadline) {
            if (attempt()) {
                return true;
            }
            std::promise<void> pause;
            this->threads.run_after(milliseconds(20), [&pause] { pause.set_value(); });
            pause.get_future().get();
        }
        return false;
    }

    /// Submits a gang of @p tasks tasks: they run only if all of them find room at the same time.
    std::string submit_gang(int tasks) {
        const auto path = fmt::format("/q/00000000000000{:02x}", ++this->jobs);
        const auto body = fmt::format(
            R"({{"Spec":"s","Steps":[{{"Count":{},"Cpu":1000,"MemMb":100,"EstimateMs":100,"Gang":true}}]}})",
            tasks);
        BOOST_TEST(this->within(std::chrono::seconds(10),
                                [&] { return this->call("POST", path, body).status == 200; }));
        return path;
    }

    bool completes(const std::string& path, std::chrono::seconds limit = std::chrono::seconds(20)) {
        return this->within(
            limit, [&] { return this->call("GET", path).body.find("completed") != std::string::npos; });
    }

    void put(std::vector<keyed_record> records) {
        this->standin->with_state([&](fake_keyed_log& log, fake_site&) {
            log.append({.topic = log_topic::workers, .records = std::move(records)});
        });
    }

    /// Writes odd entries under keys of their own, around the keys of the workers.
    void put_odd_entries() {
        constexpr std::size_t max_record_bytes = 250 * 1024;
        std::vector<keyed_record> records;
        for (const auto& odd : all_odd_values()) {
            if (odd.value.size() <= max_record_bytes && !odd.value.empty()) {
                records.push_back(
                    {.key = fmt::format("{}{}", records.size() % 2 == 0 ? "a" : "x", records.size()),
                     .value = odd.value});
            }
        }
        for (const auto& key : odd_keys()) {
            records.push_back({.key = key, .value = "odd"});
        }
        this->put(std::move(records));
    }

    void replace_worker(const std::string& vm) {
        this->standin->with_state(
            [&](fake_keyed_log&, fake_site& site) { site.crash(vm, boot_clock::now()); });
    }

    keyed_record registration_of_first() {
        return this->standin->with_state([this](fake_keyed_log&, fake_site& site) {
            return test::wire_standin::registration_of(site.workers().front(), this->standin->address());
        });
    }

    std::size_t runs_on(const std::string& worker) {
        return this->standin->with_state([&](fake_keyed_log&, fake_site& site) {
            const auto& runs = site.history();
            return static_cast<std::size_t>(std::count_if(
                runs.begin(), runs.end(), [&](const observed_run& run) { return run.worker == worker; }));
        });
    }

    void check_no_task_ran_twice() {
        this->standin->with_state([](fake_keyed_log&, fake_site& site) {
            BOOST_TEST(test::duplicate_runs(site.history()).empty());
        });
    }

    io_threads threads{2};
    std::shared_ptr<test::wire_standin> standin = test::wire_standin::make(this->threads);
    http_client_pool client{threads, {}};
    std::shared_ptr<test_node> node;
    endpoint address;
    int jobs = 0;
};

} // namespace

// Guards against a scheduler that loses the workers when it loads a list with odd entries.
BOOST_FIXTURE_TEST_CASE(node_uses_the_workers_of_a_list_with_odd_entries, node_fixture) {
    this->put_odd_entries();
    this->start_node();
    BOOST_TEST(this->completes(this->submit_gang(4)));
    this->replace_worker("m1");
    BOOST_TEST(this->completes(this->submit_gang(4)));
    this->check_no_task_ran_twice();
}

// Guards against a scheduler that stops following the list when odd entries arrive.
BOOST_FIXTURE_TEST_CASE(node_follows_the_workers_after_odd_entries, node_fixture) {
    this->start_node();
    BOOST_TEST(this->completes(this->submit_gang(4)));
    this->put_odd_entries();
    BOOST_TEST(this->completes(this->submit_gang(4)));
    this->replace_worker("m1");
    BOOST_TEST(this->completes(this->submit_gang(4)));
    this->check_no_task_ran_twice();
}

// Guards against a decoder that throws in the middle of a page: the records behind it were never read.
BOOST_FIXTURE_TEST_CASE(node_follows_the_workers_behind_a_record_that_throws, node_fixture) {
    this->put({{.key = "a", .value = "throw"}, {.key = "zz", .value = "throw"}});
    this->start_node();
    BOOST_TEST(this->completes(this->submit_gang(4)));
    this->put({{.key = "b", .value = "throw"}});
    this->replace_worker("m1");
    BOOST_TEST(this->completes(this->submit_gang(4)));
}

// Guards against a worker that is still used although its entry names none any more, and against one that is
// not used again when its entry is back.
BOOST_DATA_TEST_CASE_F(node_fixture, entry_of_a_worker_is_odd_for_a_while,
                       boost::unit_test::data::make(std::vector<odd_text>{
                           {"no JSON", "odd"},
                           {"nested", nested_array(100000, true)},
                           {"born too large", entry_with(R"("born":7)", R"("born":9223372036854775807)")},
                           {"capacity too large", entry_with("32000", "9223372036854775807")},
                           {"port too large", entry_with(":8", ":65536")}}),
                       odd) {
    const auto good = this->registration_of_first();
    this->put({{.key = good.key, .value = odd.value}, good});
    this->start_node();
    BOOST_TEST(this->completes(this->submit_gang(4)));
    this->put({{.key = good.key, .value = odd.value}});
    const auto blocked = [this] {
        const auto text = boost::json::serialize(this->node->dump());
        return text.find("\"w-1\"") == std::string::npos;
    };
    BOOST_TEST(this->within(std::chrono::seconds(5), blocked));
    const auto before = this->runs_on(good.key);
    BOOST_TEST(this->completes(this->submit_gang(2)));
    BOOST_TEST(this->runs_on(good.key) == before);
    const auto waiting = this->submit_gang(4);
    this->put({good});
    BOOST_TEST(this->completes(waiting));
    BOOST_TEST(this->runs_on(good.key) > before);
    this->check_no_task_ran_twice();
}
