#pragma once

#include "protocol/json_reader.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail::cli {

/// Kind of a document, recognized by its fields.
enum class document_kind { fleet_configuration, node_settings, unrecognized };

/// @return "fleet text", "node settings" or "document"; part of the JSON output of `check`
std::string_view to_string(document_kind kind) noexcept;

/// Findings about one document.
struct check_report {
    document_kind kind = document_kind::unrecognized;
    std::vector<diagnostic> findings;
};

/// Checks a fleet configuration or node settings. The top-level fields decide which of the two it is.
/// @param text content of the file
/// @return every finding with its JSON path and remedy; no findings if the document is valid
check_report check_document(std::string_view text);

/// Prints the findings with their remedies, as text or as JSON according to --output.
/// @param file name to print for the document
void print_report(const std::string& file, const check_report& report);

/// `check FILE`: checks a fleet configuration or node settings and prints every finding.
/// @return the exit code
int run_check(int argc, char** argv);

} // namespace hornbeamrail::cli
