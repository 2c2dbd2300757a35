#include "cli/json_table.hpp"

#include "cli/admin_client.hpp"
#include "cli/command.hpp"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace hornbeamrail::cli {

namespace {

std::string cell_of(const boost::json::value& row, std::string_view column) {
    const auto* object = row.if_object();
    const auto* value = object != nullptr ? object->if_contains(column) : nullptr;
    if (value == nullptr || value->is_null()) {
        return {};
    }
    if (value->is_string()) {
        return std::string(value->get_string());
    }
    if (value->is_double()) {
        return fmt::format("{:.4g}", value->get_double());
    }
    return boost::json::serialize(*value);
}

void append_line(std::string& text, const std::vector<std::string>& cells,
                 const std::vector<std::size_t>& widths) {
    std::string line;
    for (std::size_t column = 0; column < cells.size(); ++column) {
        line += fmt::format("{:<{}}  ", cells[column], widths[column]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
}

} // namespace

std::string format_table(const boost::json::array& rows, const std::vector<std::string_view>& columns) {
    std::vector<std::vector<std::string>> lines{{columns.begin(), columns.end()}};
    for (const auto& row : rows) {
        auto& cells = lines.emplace_back();
        for (const auto& column : columns) {
            cells.push_back(cell_of(row, column));
        }
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto& cells : lines) {
        for (std::size_t column = 0; column < cells.size(); ++column) {
            widths[column] = std::max(widths[column], cells[column].size());
        }
    }
    std::string text;
    for (const auto& cells : lines) {
        append_line(text, cells, widths);
    }
    return text;
}

int show_table(std::string_view target, std::string_view member,
               const std::vector<std::string_view>& columns) {
    error failure;
    const auto document = value_or_error(
        [&]() -> result<boost::json::value> {
            BOOST_LEAF_AUTO(client, make_admin_client());
            return fetch(client, target);
        },
        failure);
    if (!document) {
        return print_error(failure);
    }
    const auto* object = document->if_object();
    const auto* rows = object != nullptr ? object->if_contains(member) : nullptr;
    if (rows == nullptr || !rows->is_array()) {
        return print_error({errc::rejected, fmt::format("the answer of the node contains no \"{}\"", member),
                            "upgrade the node or this binary"});
    }
    if (wants_json()) {
        print_json(*rows);
    } else {
        fmt::print("{}", format_table(rows->get_array(), columns));
    }
    return exit_done;
}

} // namespace hornbeamrail::cli
