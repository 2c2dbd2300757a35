#pragma once

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail::cli {

/// Lays out an array of objects as a table with one column per member name.
/// @param rows objects; a missing member gives an empty cell
/// @return lines, each ended by a line break, with a header line
std::string format_table(const boost::json::array& rows, const std::vector<std::string_view>& columns);

/// Fetches a document from the admin port and prints one of its arrays as a table or as JSON.
/// @return the exit code
int show_table(std::string_view target, std::string_view member,
               const std::vector<std::string_view>& columns);

} // namespace hornbeamrail::cli
