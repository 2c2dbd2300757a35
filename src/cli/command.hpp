#pragma once

#include "hornbeamrail/error.hpp"

#include <boost/json/value.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail::cli {

/// Exit codes of every command.
enum exit_code : int {
    exit_done = 0,
    exit_refused = 1, ///< the fold or the node decided against it
    exit_invalid = 2, ///< invalid input; nothing was sent
    exit_unknown = 3, ///< unreachable or outcome unknown; repeat with the printed --change_id
};

/// One command of the binary.
struct command {
    std::string_view name; ///< one or two words, for example "key grant"
    std::string_view arguments;
    std::string_view summary;
    std::vector<std::string_view> flags; ///< gflags names that the command reads
    /// Runs the command. argv[0] is the command name, the rest are its arguments without flags.
    int (*run)(int argc, char** argv);
};

/// Finds the command that @p words begin with; two-word names win.
/// @param words arguments after the name of the binary
/// @param used receives the number of words that name the command
/// @return the command, or nullptr
const command* find_command(std::span<const command> table, std::span<const std::string_view> words,
                            std::size_t& used);

/// Sets the gflags of @p chosen from @p words. Repeatable flags are joined with commas.
/// @return the remaining arguments, or `errc::invalid_argument` on an unknown flag or a bad value
result<std::vector<std::string>> parse_flags(const command& chosen, std::span<const std::string_view> words);

/// @return the help text of one command with its flags and their defaults
std::string help_of(const command& chosen);

/// @return the list of all commands
std::string usage_of(std::span<const command> table);

/// Runs the binary: finds the command, sets its flags and calls it.
/// @return the exit code of the process
int run_command_line(std::span<const command> table, int argc, char** argv);

/// @return whether --output is "json"
bool wants_json();

/// Prints one line to standard output.
void print_line(std::string_view text);

/// Prints a JSON value with indentation to standard output.
void print_json(const boost::json::value& value);

/// Prints a failure and its remedy: text to standard error, or JSON to standard output.
/// @return the exit code that belongs to the kind of failure
int print_error(const error& failure);

/// Reads a file of at most @p max_bytes.
/// @return the bytes, or `errc::io_failed` / `errc::too_large`
result<std::string> read_file(const std::string& path, std::size_t max_bytes);

/// Checks the number of arguments of a command.
/// @return whether there are exactly @p expected; prints the failure if not
bool expect_arguments(int argc, char** argv, int expected, std::string_view description);

} // namespace hornbeamrail::cli
