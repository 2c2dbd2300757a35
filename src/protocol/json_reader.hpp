#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// A problem in an input document.
struct diagnostic {
    std::string path; ///< JSON path, for example "$.services[2].pool"
    std::string message;
    std::string remedy;
};

/// Reads the fields of one JSON object and collects diagnostics instead of stopping at the first error.
///
/// A getter that finds a missing or invalid field records a diagnostic and returns a fallback, so that one
/// pass reports every error of a document. `finish()` reports fields that no getter has read.
class object_reader {
public:
    /// @param value the JSON value; a diagnostic is recorded when it is not an object
    /// @param path JSON path of @p value
    /// @param diagnostics receives the findings; must outlive the reader
    object_reader(const boost::json::value& value, std::string path, std::vector<diagnostic>& diagnostics);

    /// @return the text of a required string field, or "" after recording a diagnostic
    std::string required_string(std::string_view name);
    /// @return the text of an optional string field, or @p fallback when it is absent or not a string
    std::string optional_string(std::string_view name, std::string fallback);

    /// @return an integer in [@p low, @p high], or @p low after recording a diagnostic
    std::int64_t required_integer(std::string_view name, std::int64_t low, std::int64_t high);
    /// @return an integer in [@p low, @p high], or @p fallback when the field is absent or invalid
    std::int64_t optional_integer(std::string_view name, std::int64_t fallback, std::int64_t low,
                                  std::int64_t high);

    /// @return a number in [@p low, @p high], or @p fallback when the field is absent or invalid
    double optional_number(std::string_view name, double fallback, double low, double high);
    /// @return the boolean, or @p fallback when the field is absent or not a boolean
    bool optional_bool(std::string_view name, bool fallback);

    /// @return the elements of an array field; empty when it is absent or, after a diagnostic, not an array
    const boost::json::array& array(std::string_view name, bool required);
    /// @return the non-empty strings of an array field; other elements are diagnostics
    std::vector<std::string> string_array(std::string_view name, bool required);

    /// @return the named member or nullptr; `finish()` does not report it
    const boost::json::value* find(std::string_view name);

    /// @return the JSON path of the member @p name
    [[nodiscard]] std::string path_of(std::string_view name) const;
    [[nodiscard]] const std::string& path() const noexcept { return this->path_prefix; }

    /// Records a diagnostic about the member @p name.
    void report(std::string_view name, std::string message, std::string remedy);

    /// Records a diagnostic for every member that no getter has read.
    void finish();

private:
    std::int64_t integer_in_range(std::string_view name, const boost::json::value& value,
                                  std::int64_t fallback, std::int64_t low, std::int64_t high);

    const boost::json::object* object = nullptr;
    std::string path_prefix;
    std::vector<diagnostic>& diagnostics;
    std::set<std::string, std::less<>> known_fields; ///< names that getters have read
};

/// @return @p path followed by "[index]"
std::string indexed_path(std::string_view path, std::size_t index);

} // namespace hornbeamrail
