#pragma once

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace hornbeamrail::cli {

/// One difference between two JSON documents.
struct difference {
    std::string path;      ///< entries of a table are named, for example "$.teams[harbor-games].share"
    std::string old_value; ///< JSON; empty when the value was added
    std::string new_value; ///< JSON; empty when the value was removed
};

/// Compares two documents. Arrays whose entries all have a "name" are compared by name, so that a new order
/// is no difference; other arrays are compared as a whole.
/// @return the differences in the order of the documents, those of the old one first
std::vector<difference> diff_documents(const boost::json::value& old_document,
                                       const boost::json::value& new_document);

/// @return for example "~ $.teams[a].share: 10 -> 20", "+ ..." for an added and "- ..." for a removed value
std::string to_string(const difference& entry);

} // namespace hornbeamrail::cli
