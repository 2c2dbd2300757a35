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
    exit_refused = 1, ///< the node refused the request, the fold rejected the change, or the demo failed
    exit_invalid = 2, ///< invalid input; nothing was sent
    exit_unknown = 3, ///< no node reachable or outcome unknown; repeat with the printed --change_id
};

/// A command of the binary, with its help text and its entry point.
struct command {
    std::string_view name;               ///< one or two words, for example "key grant"
    std::string_view arguments;          ///< placeholders for the usage text, for example "TEAM"
    std::string_view summary;            ///< one line for the usage text
    std::vector<std::string_view> flags; ///< gflags names that the command accepts
    /// Runs the command. argv[0] is the command name; the arguments follow, without flags.
    /// @return an `exit_code`
    int (*run)(int argc, char** argv);
};

/// Finds the command whose name @p words start with. Two-word names take precedence.
/// @param words arguments after the name of the binary
/// @param name_words receives the number of words in the name of the command
/// @return the command, or nullptr
const command* find_command(std::span<const command> table, std::span<const std::string_view> words,
                            std::size_t& name_words);

/// Sets the gflags of @p selected from @p words. Repeated values of --node are joined with commas.
/// @return the remaining arguments, or `errc::invalid_argument` for an unknown flag, a missing value or an
///     invalid value
result<std::vector<std::string>> parse_flags(const command& selected,
                                             std::span<const std::string_view> words);

/// @return the help text of one command with its flags and their defaults
std::string help_of(const command& selected);

/// @return the list of all commands
std::string usage_of(std::span<const command> table);

/// Entry point of the binary: finds the command, sets its flags and runs it.
/// @return the exit code of the process
int run_command_line(std::span<const command> table, int argc, char** argv);

/// @return whether --output is "json"
bool wants_json();

/// Prints one line to standard output.
void print_line(std::string_view text);

/// Prints a JSON value with indentation to standard output.
void print_json(const boost::json::value& value);

/// Prints a failure and its remedy, as text to standard error or as JSON to standard output.
/// @return the exit code for the error code of @p failure
int print_error(const error& failure);

/// Reads a file of at most @p max_bytes.
/// @return the bytes, `errc::io_failed` if the file cannot be read, or `errc::too_large`
result<std::string> read_file(const std::string& path, std::size_t max_bytes);

/// Checks the number of arguments of a command and prints an error if it is wrong.
/// @param description the expected arguments, for example "one TEAM"
/// @return whether there are exactly @p expected arguments
bool expect_arguments(int argc, char** argv, int expected, std::string_view description);

} // namespace hornbeamrail::cli
