#pragma once

// Stand-in of the platform's store, as PROTOCOL.md describes it: a log with conditional appends, producers,
// waiting reads and the newest record of each key. Each client machine has a port of its own, so that the
// store can be out of reach for one of them.

#include "wire_2.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <vector>

namespace review {

inline std::string encode_base64(std::string_view bytes) {
    constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte) {
            group =
                group << 8U | (at + byte < bytes.size() ? static_cast<unsigned char>(bytes[at + byte]) : 0U);
        }
        for (std::size_t letter = 0; letter < 4; ++letter) {
            text.push_back(at + letter > bytes.size() ? '=' : letters[group >> (18U - 6U * letter) & 63U]);
        }
    }
    return text;
}

/// The log of one site. Thread-safe.
class store {
public:
    static constexpr milliseconds append_time{4};
    /// Heartbeat interval of the executors; their entries lapse after three of them.
    static constexpr milliseconds heartbeat{1500};

    struct record {
        std::string key;
        std::string value;
        std::int64_t offset = 0;
    };

    /// A port of the store. While it is silent, nothing that arrives there is done or answered.
    struct port {
        std::atomic<bool> silent{false};
        std::unique_ptr<http_server> server;
        int number = 0;
    };

    store() {
        std::thread([this] { this->expire_entries(); }).detach();
    }

    std::shared_ptr<port> open_port() {
        auto opened = std::make_shared<port>();
        opened->number = free_port();
        opened->server = std::make_unique<http_server>(
            opened->number,
            [this, gate = opened.get()](const http_request& request) { return this->serve(*gate, request); });
        this->ports.push_back(opened);
        return opened;
    }

    /// Appends a record of the operator.
    void write(const std::string& topic, const std::string& key, const std::string& value) {
        const std::lock_guard lock(this->mutex);
        this->append_record(this->partitions[{topic, 0}], key, value);
        this->changed.notify_all();
    }

    /// @return the newest value of a key in partition 0 of a topic
    std::string newest_value(const std::string& topic, const std::string& key) {
        const std::lock_guard lock(this->mutex);
        const auto& newest = this->partitions[{topic, 0}].newest;
        const auto found = newest.find(key);
        return found == newest.end() ? std::string() : found->second.value;
    }

    /// Makes all ports silent or not.
    void set_silent(bool silent) {
        for (const auto& opened : this->ports) {
            opened->silent = silent;
        }
        const std::lock_guard lock(this->mutex);
        this->down = silent;
        for (auto& [id, at] : this->heard) {
            at = now_ms(); // entries do not lapse for the time in which the store could not be reached
        }
        this->changed.notify_all();
    }

private:
    struct producer {
        std::int64_t epoch = -1;
        std::int64_t sequence = -1;
        std::deque<std::pair<std::int64_t, std::string>> answers; ///< of the latest five appends
    };
    struct partition {
        std::vector<record> records;
        std::map<std::string, record> newest;
        std::map<std::string, producer> producers;
    };

    static std::uint32_t read_length(std::string_view bytes) {
        std::uint32_t length = 0;
        for (const char byte : bytes.substr(0, 4)) {
            length = length << 8U | static_cast<unsigned char>(byte);
        }
        return length;
    }

    static void put_number(std::string& to, std::uint64_t value, unsigned bytes) {
        for (unsigned left = bytes; left > 0; --left) {
            to.push_back(static_cast<char>(value >> (8U * (left - 1)) & 255U));
        }
    }

    static http_response answer(int status, const boost::json::object& body) {
        return {.status = status, .body = boost::json::serialize(body)};
    }

    /// Waits for the end of a silence; the request gets no answer.
    std::optional<http_response> stay_silent(const port& gate) {
        while (gate.silent) {
            pause(milliseconds(20));
        }
        return std::nullopt;
    }

    std::optional<http_response> serve(port& gate, const http_request& request) {
        if (gate.silent) {
            return this->stay_silent(gate);
        }
        const auto path = request.path();
        if (path == "/hornbeamrail/log-read") {
            return this->read(gate, request);
        }
        pause(append_time);
        if (gate.silent) {
            return this->stay_silent(gate);
        }
        const std::lock_guard lock(this->mutex);
        if (path == "/hornbeamrail/log-append") {
            return this->append(request);
        }
        return path == "/hornbeamrail/log-newest" ? this->newest(request) : http_response{.status = 404};
    }

    void append_record(partition& to, const std::string& key, const std::string& value) {
        const record added{
            .key = key, .value = value, .offset = static_cast<std::int64_t>(to.records.size())};
        to.records.push_back(added);
        if (value.empty()) {
            to.newest.erase(key);
        } else {
            to.newest[key] = added;
        }
    }

    http_response append(const http_request& request) {
        const auto topic = request.query("Topic");
        auto& to = this->partitions[{topic, request.query_number("part")}];
        auto end = static_cast<std::int64_t>(to.records.size());
        if (!request.query("At").empty() && request.query_number("At") != end) {
            return answer(412, {{"End", end}});
        }
        const auto name = request.query("Producer");
        auto& writer = to.producers[name];
        const auto epoch = request.query_number("epoch");
        const auto sequence = request.query_number("Seq");
        if (!name.empty()) {
            if (epoch < writer.epoch) {
                return answer(409, {{"Reason", "fenced"}});
            }
            const bool is_new_epoch = epoch > writer.epoch;
            for (const auto& [earlier, body] : writer.answers) {
                if (!is_new_epoch && !request.body.empty() && earlier == sequence) {
                    return {.body = body};
                }
            }
            if (!is_new_epoch && !request.body.empty() && sequence != writer.sequence + 1) {
                return answer(409, {{"Reason", "seq"}, {"Seq", writer.sequence + 1}});
            }
            if (is_new_epoch) {
                writer = {.epoch = epoch};
            }
            if (is_new_epoch || !request.body.empty()) {
                writer.sequence = sequence;
            }
        }
        std::string_view body(request.body);
        while (body.size() > 4) {
            const auto content = body.substr(4, read_length(body));
            const auto key_bytes = static_cast<unsigned char>(content.front());
            const std::string key(content.substr(1, key_bytes));
            this->append_record(to, key, std::string(content.substr(1U + key_bytes)));
            if (topic == "keyed.servers") {
                this->heard[key] = now_ms();
            }
            body.remove_prefix(4 + content.size());
        }
        const auto response =
            answer(200, {{"Offset", end}, {"End", static_cast<std::int64_t>(to.records.size())}});
        if (!name.empty() && !request.body.empty()) {
            writer.answers.emplace_back(sequence, response.body);
            if (writer.answers.size() > 5) {
                writer.answers.pop_front();
            }
        }
        this->changed.notify_all();
        return response;
    }

    std::optional<http_response> read(port& gate, const http_request& request) {
        const auto deadline = std::chrono::steady_clock::now() + milliseconds(request.query_number("WaitMs"));
        const auto from = static_cast<std::size_t>(request.query_number("From"));
        std::unique_lock lock(this->mutex);
        const auto& source = this->partitions[{request.query("Topic"), request.query_number("part")}];
        this->changed.wait_until(lock, deadline, [&] { return gate.silent || source.records.size() > from; });
        if (gate.silent) {
            lock.unlock();
            return this->stay_silent(gate);
        }
        http_response response;
        put_number(response.body, source.records.size(), 8);
        put_number(response.body, 0, 8);
        for (std::size_t at = from; at < source.records.size(); ++at) {
            const auto& item = source.records[at];
            put_number(response.body, 1 + item.key.size() + item.value.size(), 4);
            put_number(response.body, item.key.size(), 1);
            response.body += item.key + item.value;
        }
        return response;
    }

    http_response newest(const http_request& request) {
        constexpr std::size_t page = 500;
        const auto& source = this->partitions[{request.query("Topic"), request.query_number("part")}];
        boost::json::array items;
        bool has_more = false;
        for (auto at = source.newest.upper_bound(request.query("After")); at != source.newest.end(); ++at) {
            if (items.size() == page) {
                has_more = true;
                break;
            }
            items.push_back(boost::json::object{{"Key", at->first},
                                                {"Value", encode_base64(at->second.value)},
                                                {"Offset", at->second.offset}});
        }
        return answer(200, {{"items", std::move(items)},
                            {"HasMore", has_more},
                            {"End", static_cast<std::int64_t>(source.records.size())}});
    }

    void expire_entries() {
        while (true) {
            pause(milliseconds(50));
            const std::lock_guard lock(this->mutex);
            for (auto at = this->heard.begin(); at != this->heard.end();) {
                const bool lapsed = !this->down && now_ms() > at->second + 3 * heartbeat.count();
                if (lapsed) {
                    this->append_record(this->partitions[{"keyed.servers", 0}], at->first, "");
                    this->changed.notify_all();
                }
                at = lapsed ? this->heard.erase(at) : std::next(at);
            }
        }
    }

    std::mutex mutex; ///< guards all members below
    std::condition_variable changed;
    std::map<std::pair<std::string, std::int64_t>, partition> partitions;
    std::map<std::string, std::int64_t> heard; ///< when each executor wrote its entry last
    bool down = false;
    std::vector<std::shared_ptr<port>> ports; ///< complete before the first request
};

} // namespace review
