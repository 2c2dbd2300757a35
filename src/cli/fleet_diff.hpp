#pragma once

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace hornbeamrail::cli {

/// One difference between two JSON documents.
struct difference {
    std::string path; ///< JSON path; table entries appear by name, for example "$.teams[harbor-games].share"
    std::string old_value; ///< JSON; empty when the value was added
    std::string new_value; ///< JSON; empty when the value was removed
};

/// Compares two documents. Arrays whose entries all have a "name" are compared by name, regardless of order;
/// other arrays are compared as a whole.
/// @return at each level, first the changed and removed values in the order of @p old_document, then the
///     added values in the order of @p new_document
std::vector<difference> diff_documents(const boost::json::value& old_document,
                                       const boost::json::value& new_document);

/// @return for example "~ $.teams[a].share: 10 -> 20", "+ ..." for an added and "- ..." for a removed value
std::string to_string(const difference& entry);

} // namespace hornbeamrail::cli
