#include "cli/command.hpp"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iterator>
#include <optional>

DEFINE_string(output, "text", "output format: text or json");

namespace hornbeamrail::cli {

namespace {

/// The flag that may appear several times. Its values are joined with commas.
constexpr std::string_view repeatable_flag = "node";

bool accepts_flag(const command& selected, std::string_view name) {
    return std::find(selected.flags.begin(), selected.flags.end(), name) != selected.flags.end();
}

boost::leaf::error_id unknown_flag(const command& selected, std::string_view name) {
    return make_error(errc::invalid_argument, fmt::format("\"{}\" has no flag --{}", selected.name, name),
                      fmt::format("see: hornbeamrail {} --help", selected.name));
}

/// Sets one flag. Further values of the repeatable flag are appended.
result<void> set_flag(const command& selected, const std::string& name, std::string value, bool is_repeated) {
    if (is_repeated && name == repeatable_flag) {
        std::string current;
        gflags::GetCommandLineOption(name.c_str(), &current);
        value = current + "," + value;
    }
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
        return make_error(errc::invalid_argument,
                          fmt::format("\"{}\" is not a valid value for --{}", value, name),
                          fmt::format("see: hornbeamrail {} --help", selected.name));
    }
    return {};
}

void print_indented(std::string& text, const boost::json::value& value, std::size_t depth) {
    const std::string indent(2 * depth + 2, ' ');
    if (const auto* object = value.if_object(); object != nullptr && !object->empty()) {
        text += "{\n";
        std::size_t remaining = object->size();
        for (const auto& member : *object) {
            text += indent + boost::json::serialize(member.key()) + ": ";
            print_indented(text, member.value(), depth + 1);
            text += --remaining == 0 ? "\n" : ",\n";
        }
        text += std::string(2 * depth, ' ') + "}";
        return;
    }
    if (const auto* array = value.if_array(); array != nullptr && !array->empty()) {
        text += "[\n";
        std::size_t remaining = array->size();
        for (const auto& element : *array) {
            text += indent;
            print_indented(text, element, depth + 1);
            text += --remaining == 0 ? "\n" : ",\n";
        }
        text += std::string(2 * depth, ' ') + "]";
        return;
    }
    text += boost::json::serialize(value);
}

} // namespace

const command* find_command(std::span<const command> table, std::span<const std::string_view> words,
                            std::size_t& name_words) {
    for (const std::size_t count : {std::size_t{2}, std::size_t{1}}) {
        if (words.size() < count) {
            continue;
        }
        const std::string name =
            count == 2 ? fmt::format("{} {}", words[0], words[1]) : std::string(words[0]);
        const auto found = std::find_if(table.begin(), table.end(),
                                        [&](const command& entry) { return entry.name == name; });
        if (found != table.end()) {
            name_words = count;
            return &*found;
        }
    }
    return nullptr;
}

result<std::vector<std::string>> parse_flags(const command& selected,
                                             std::span<const std::string_view> words) {
    std::vector<std::string> arguments;
    std::vector<std::string> seen;
    for (std::size_t index = 0; index < words.size(); ++index) {
        std::string_view word = words[index];
        if (word == "--") {
            arguments.insert(arguments.end(), words.begin() + static_cast<std::ptrdiff_t>(index) + 1,
                             words.end());
            break;
        }
        if (!word.starts_with('-') || word == "-") {
            arguments.emplace_back(word);
            continue;
        }
        word.remove_prefix(word.starts_with("--") ? 2 : 1);
        const auto equals = word.find('=');
        std::string name(word.substr(0, equals));
        std::optional<std::string> value;
        if (equals != std::string_view::npos) {
            value = std::string(word.substr(equals + 1));
        }
        if (!value && name.starts_with("no") && accepts_flag(selected, name.substr(2))) {
            name.erase(0, 2);
            value = "false";
        }
        gflags::CommandLineFlagInfo info;
        if (!accepts_flag(selected, name) || !gflags::GetCommandLineFlagInfo(name.c_str(), &info)) {
            return unknown_flag(selected, name);
        }
        if (!value && info.type == "bool") {
            value = "true";
        }
        if (!value && index + 1 < words.size()) {
            value = std::string(words[++index]);
        }
        if (!value) {
            return make_error(errc::invalid_argument, fmt::format("--{} needs a value", name),
                              fmt::format("see: hornbeamrail {} --help", selected.name));
        }
        const bool is_repeated = std::find(seen.begin(), seen.end(), name) != seen.end();
        BOOST_LEAF_CHECK(set_flag(selected, name, *value, is_repeated));
        seen.push_back(name);
    }
    return arguments;
}

std::string help_of(const command& selected) {
    std::string text =
        fmt::format("hornbeamrail {} {}\n\n{}\n", selected.name, selected.arguments, selected.summary);
    for (const auto& name : selected.flags) {
        gflags::CommandLineFlagInfo info;
        if (gflags::GetCommandLineFlagInfo(std::string(name).c_str(), &info)) {
            text += fmt::format("\n  --{} ({}, default \"{}\")\n      {}\n", info.name, info.type,
                                info.default_value, info.description);
        }
    }
    return text + "\nexit codes: 0 done, 1 refused, 2 invalid input, 3 unreachable or outcome unknown\n";
}

std::string usage_of(std::span<const command> table) {
    std::string text = "usage: hornbeamrail COMMAND [ARGUMENTS] [FLAGS]\n\n";
    for (const auto& entry : table) {
        text += fmt::format("  {:<32} {}\n", fmt::format("{} {}", entry.name, entry.arguments),
                            entry.summary.substr(0, entry.summary.find('\n')));
    }
    return text + "\nhornbeamrail COMMAND --help shows the flags of a command\n";
}

int run_command_line(std::span<const command> table, int argc, char** argv) {
    const std::vector<std::string_view> words(argv + 1, argv + std::max(argc, 1));
    if (words.empty() || words[0] == "--help" || words[0] == "-h" || words[0] == "help") {
        fmt::print("{}", usage_of(table));
        return words.empty() ? exit_invalid : exit_done;
    }
    std::size_t name_words = 0;
    const auto* selected = find_command(table, words, name_words);
    if (selected == nullptr) {
        fmt::print(stderr, "unknown command \"{}\"\n\n{}", words[0], usage_of(table));
        return exit_invalid;
    }
    const auto arguments_and_flags = std::span(words).subspan(name_words);
    if (std::find(arguments_and_flags.begin(), arguments_and_flags.end(), "--help") !=
        arguments_and_flags.end()) {
        fmt::print("{}", help_of(*selected));
        return exit_done;
    }
    error failure;
    auto arguments = value_or_error([&] { return parse_flags(*selected, arguments_and_flags); }, failure);
    if (arguments && FLAGS_output != "text" && FLAGS_output != "json") {
        failure = {errc::invalid_argument, fmt::format("\"{}\" is not an output format", FLAGS_output),
                   "use --output text or --output json"};
        arguments.reset();
    }
    if (!arguments) {
        return print_error(failure);
    }
    std::string name(selected->name);
    std::vector<char*> pointers{name.data()};
    for (auto& argument : *arguments) {
        pointers.push_back(argument.data());
    }
    const int count = static_cast<int>(pointers.size());
    pointers.push_back(nullptr);
    try {
        return selected->run(count, pointers.data());
    } catch (const std::exception& caught) {
        print_error({errc::io_failed, caught.what(), "report this as a defect"});
        return exit_unknown; // the command may already have sent its change
    }
}

bool wants_json() {
    return FLAGS_output == "json";
}

void print_line(std::string_view text) {
    fmt::print("{}\n", text);
}

void print_json(const boost::json::value& value) {
    std::string text;
    print_indented(text, value, 0);
    print_line(text);
}

int print_error(const error& failure) {
    if (wants_json()) {
        print_json(
            {{"error", to_string(failure.code)}, {"message", failure.message}, {"remedy", failure.remedy}});
    } else {
        fmt::print(stderr, "{}: {}\n  remedy: {}\n", to_string(failure.code), failure.message,
                   failure.remedy);
    }
    switch (failure.code) {
    case errc::unreachable:
    case errc::timed_out:
        return exit_unknown;
    case errc::conflict:
    case errc::rejected:
    case errc::unavailable:
    case errc::not_found:
        return exit_refused;
    default:
        return exit_invalid;
    }
}

result<std::string> read_file(const std::string& path, std::size_t max_bytes) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return make_error(errc::io_failed, fmt::format("cannot open \"{}\"", path),
                          "check the path and its permissions");
    }
    std::string bytes(max_bytes + 1, '\0');
    file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    if (file.bad()) {
        return make_error(errc::io_failed, fmt::format("cannot read \"{}\"", path),
                          "check that it is a regular file");
    }
    bytes.resize(static_cast<std::size_t>(file.gcount()));
    if (bytes.size() > max_bytes) {
        return make_error(errc::too_large, fmt::format("\"{}\" has more than {} bytes", path, max_bytes),
                          fmt::format("keep it under {} bytes", max_bytes));
    }
    return bytes;
}

bool expect_arguments(int argc, char** argv, int expected, std::string_view description) {
    if (argc == expected + 1) {
        return true;
    }
    print_error({errc::invalid_argument, fmt::format("\"{}\" takes {}", argv[0], description),
                 fmt::format("see: hornbeamrail {} --help", argv[0])});
    return false;
}

} // namespace hornbeamrail::cli
