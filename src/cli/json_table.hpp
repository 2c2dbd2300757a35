#pragma once

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail::cli {

/// Formats an array of objects as an aligned table.
/// @param rows objects; a missing or null member gives an empty cell
/// @param columns member names, one per column
/// @return a header line and one line per row, each ending with a line break
std::string format_table(const boost::json::array& rows, const std::vector<std::string_view>& columns);

/// Fetches a document from the admin port and prints one of its arrays as a table or as JSON.
/// @param target path of the document
/// @param member name of the array in the document
/// @return the exit code
int show_table(std::string_view target, std::string_view member,
               const std::vector<std::string_view>& columns);

} // namespace hornbeamrail::cli
