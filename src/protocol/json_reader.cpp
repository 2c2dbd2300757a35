#include "protocol/json_reader.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace hornbeamrail {

namespace {

const boost::json::array empty_array;

/// @return the Levenshtein distance
std::size_t edit_distance(std::string_view left, std::string_view right) {
    std::vector<std::size_t> row(right.size() + 1);
    for (std::size_t j = 0; j <= right.size(); ++j) {
        row[j] = j;
    }
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t above = row[j];
            const std::size_t substitution = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            row[j] = std::min({above + 1, row[j - 1] + 1, substitution});
            diagonal = above;
        }
    }
    return row.back();
}

} // namespace

std::string indexed_path(std::string_view path, std::size_t index) {
    return fmt::format("{}[{}]", path, index);
}

object_reader::object_reader(const boost::json::value& value, std::string path,
                             std::vector<diagnostic>& findings)
    : object(value.if_object()), path_prefix(std::move(path)), diagnostics(findings) {
    if (this->object == nullptr) {
        this->diagnostics.push_back({this->path_prefix, "expected an object", "write it as {...}"});
    }
}

std::string object_reader::path_of(std::string_view name) const {
    return fmt::format("{}.{}", this->path_prefix, name);
}

void object_reader::report(std::string_view name, std::string message, std::string remedy) {
    this->diagnostics.push_back({this->path_of(name), std::move(message), std::move(remedy)});
}

const boost::json::value* object_reader::find(std::string_view name) {
    this->known_fields.emplace(name);
    if (this->object == nullptr) {
        return nullptr;
    }
    return this->object->if_contains(name);
}

std::string object_reader::required_string(std::string_view name) {
    const auto* value = this->find(name);
    if (value == nullptr) {
        if (this->object != nullptr) {
            this->report(name, "field is missing", "add it as a non-empty string");
        }
        return {};
    }
    const auto* text = value->if_string();
    if (text == nullptr || text->empty()) {
        this->report(name, "expected a non-empty string", "write it in quotes");
        return {};
    }
    return std::string(*text);
}

std::string object_reader::optional_string(std::string_view name, std::string fallback) {
    const auto* value = this->find(name);
    if (value == nullptr) {
        return fallback;
    }
    const auto* text = value->if_string();
    if (text == nullptr) {
        this->report(name, "expected a string", "write it in quotes or leave the field out");
        return fallback;
    }
    return std::string(*text);
}

std::int64_t object_reader::integer_in_range(std::string_view name, const boost::json::value& value,
                                             std::int64_t fallback, std::int64_t low, std::int64_t high) {
    boost::system::error_code failure;
    const auto number = value.is_number() ? value.to_number<std::int64_t>(failure) : 0;
    if (!value.is_number() || failure) {
        this->report(name, "expected an integer",
                     fmt::format("write a whole number from {} to {}", low, high));
        return fallback;
    }
    if (number < low || number > high) {
        this->report(name, fmt::format("{} is out of range", number),
                     fmt::format("use a value from {} to {}", low, high));
        return fallback;
    }
    return number;
}

std::int64_t object_reader::required_integer(std::string_view name, std::int64_t low, std::int64_t high) {
    const auto* value = this->find(name);
    if (value == nullptr) {
        if (this->object != nullptr) {
            this->report(name, "field is missing",
                         fmt::format("add a whole number from {} to {}", low, high));
        }
        return low;
    }
    return this->integer_in_range(name, *value, low, low, high);
}

std::int64_t object_reader::optional_integer(std::string_view name, std::int64_t fallback, std::int64_t low,
                                             std::int64_t high) {
    const auto* value = this->find(name);
    return value == nullptr ? fallback : this->integer_in_range(name, *value, fallback, low, high);
}

double object_reader::optional_number(std::string_view name, double fallback, double low, double high) {
    const auto* value = this->find(name);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_number()) {
        this->report(name, "expected a number", fmt::format("use a value from {} to {}", low, high));
        return fallback;
    }
    const double number = value->to_number<double>();
    if (!(number >= low && number <= high)) {
        this->report(name, fmt::format("{} is out of range", number),
                     fmt::format("use a value from {} to {}", low, high));
        return fallback;
    }
    return number;
}

bool object_reader::optional_bool(std::string_view name, bool fallback) {
    const auto* value = this->find(name);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_bool()) {
        this->report(name, "expected true or false", "write true or false without quotes");
        return fallback;
    }
    return value->get_bool();
}

const boost::json::array& object_reader::array(std::string_view name, bool required) {
    const auto* value = this->find(name);
    if (value == nullptr) {
        if (required && this->object != nullptr) {
            this->report(name, "field is missing", "add it as an array [...]");
        }
        return empty_array;
    }
    const auto* elements = value->if_array();
    if (elements == nullptr) {
        this->report(name, "expected an array", "write it as [...]");
        return empty_array;
    }
    return *elements;
}

std::vector<std::string> object_reader::string_array(std::string_view name, bool required) {
    std::vector<std::string> texts;
    std::size_t index = 0;
    for (const auto& element : this->array(name, required)) {
        const auto* text = element.if_string();
        if (text == nullptr || text->empty()) {
            this->report(indexed_path(name, index), "expected a non-empty string", "write it in quotes");
        } else {
            texts.emplace_back(*text);
        }
        ++index;
    }
    return texts;
}

void object_reader::finish() {
    if (this->object == nullptr) {
        return;
    }
    for (const auto& member : *this->object) {
        const std::string_view key(member.key().data(), member.key().size());
        if (this->known_fields.contains(key)) {
            continue;
        }
        std::string remedy = "remove it";
        for (const auto& candidate : this->known_fields) {
            const bool similar_size =
                candidate.size() <= key.size() + 2 && key.size() <= candidate.size() + 2;
            if (similar_size && edit_distance(candidate, key) <= 2) {
                remedy = fmt::format("remove it, or did you mean \"{}\"?", candidate);
                break;
            }
        }
        this->report(key, "unknown field", std::move(remedy));
    }
}

} // namespace hornbeamrail
