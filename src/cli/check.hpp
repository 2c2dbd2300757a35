#pragma once

#include "protocol/json_reader.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail::cli {

enum class document_kind { fleet_text, node_settings, undecided };

/// @return "fleet text", "node settings" or "document"
std::string_view to_string(document_kind kind) noexcept;

/// Findings about one document.
struct check_report {
    document_kind kind = document_kind::undecided;
    std::vector<diagnostic> findings;
};

/// Checks a fleet text or node settings; the two are told apart by their fields.
/// @param text the bytes of the file
/// @return every finding with its JSON path and remedy; no findings when the document is usable
check_report check_document(std::string_view text);

/// Prints the findings about @p file with their remedies.
void print_report(const std::string& file, const check_report& report);

/// `check FILE`
int run_check(int argc, char** argv);

} // namespace hornbeamrail::cli
