#pragma once

#include "protocol/platform.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

// JSON codecs of the platform interface. Decoders return nothing when the text is malformed.

std::string encode_append(const std::vector<std::string>& records);
std::optional<std::vector<std::string>> decode_append(std::string_view text);

std::string encode_append_answer(log_offset first_offset);
std::optional<log_offset> decode_append_answer(std::string_view text);

std::string encode_log_read(const log_read& read);
std::optional<log_read> decode_log_read(std::string_view text);

std::string encode_vm_list(const vm_list& list);
std::optional<vm_list> decode_vm_list(std::string_view text);

/// Response of an executor to `POST /lease`.
struct lease_message {
    std::string token;
    std::chrono::milliseconds ttl{2000};
    std::int64_t slots = 8;
    std::int64_t running = 0;
    bool leaving = false;
};

std::string encode_lease(const lease_message& lease);
std::optional<lease_message> decode_lease(std::string_view text);

} // namespace hornbeamrail
