#include "cli/fleet_diff.hpp"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace hornbeamrail::cli {

namespace {

namespace json = boost::json;

/// @return whether the value is an array whose entries are all objects with a "name"
bool is_named_table(const json::value& value) {
    const auto* array = value.if_array();
    return array != nullptr && std::all_of(array->begin(), array->end(), [](const json::value& entry) {
               const auto* object = entry.if_object();
               return object != nullptr && object->contains("name") && object->at("name").is_string();
           });
}

/// @return pointers to the members of an object, or to the entries of a named table, with their paths
std::vector<std::pair<std::string, const json::value*>> children_of(const json::value& value,
                                                                    const std::string& path) {
    std::vector<std::pair<std::string, const json::value*>> children;
    if (const auto* object = value.if_object()) {
        for (const auto& member : *object) {
            children.emplace_back(fmt::format("{}.{}", path, std::string_view(member.key())),
                                  &member.value());
        }
    } else if (const auto* array = value.if_array()) {
        for (const auto& entry : *array) {
            children.emplace_back(
                fmt::format("{}[{}]", path, std::string_view(entry.at("name").get_string())), &entry);
        }
    }
    return children;
}

bool has_comparable_children(const json::value& old_value, const json::value& new_value) {
    return (old_value.is_object() && new_value.is_object()) ||
           (is_named_table(old_value) && is_named_table(new_value));
}

void compare(const json::value& old_value, const json::value& new_value, const std::string& path,
             std::vector<difference>& found) {
    if (!has_comparable_children(old_value, new_value)) {
        if (old_value != new_value) {
            found.push_back({path, json::serialize(old_value), json::serialize(new_value)});
        }
        return;
    }
    const auto new_children = children_of(new_value, path);
    std::map<std::string, const json::value*> unmatched(new_children.begin(), new_children.end());
    for (const auto& [child, value] : children_of(old_value, path)) {
        const auto match = unmatched.find(child);
        if (match == unmatched.end()) {
            found.push_back({child, json::serialize(*value), ""});
            continue;
        }
        compare(*value, *match->second, child, found);
        unmatched.erase(match);
    }
    for (const auto& [child, value] : new_children) {
        if (unmatched.contains(child)) {
            found.push_back({child, "", json::serialize(*value)});
        }
    }
}

} // namespace

std::vector<difference> diff_documents(const boost::json::value& old_document,
                                       const boost::json::value& new_document) {
    std::vector<difference> found;
    compare(old_document, new_document, "$", found);
    return found;
}

std::string to_string(const difference& entry) {
    if (entry.old_value.empty()) {
        return fmt::format("+ {}: {}", entry.path, entry.new_value);
    }
    if (entry.new_value.empty()) {
        return fmt::format("- {}: {}", entry.path, entry.old_value);
    }
    return fmt::format("~ {}: {} -> {}", entry.path, entry.old_value, entry.new_value);
}

} // namespace hornbeamrail::cli
