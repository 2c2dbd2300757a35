#include "cli/command.hpp"
#include "cli/fleet_diff.hpp"
#include "cli/json_table.hpp"
#include "fakes/sample_records.hpp"
#include "protocol/json_reader.hpp"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <string>

DEFINE_int32(test_number, 5, "a number");
DEFINE_bool(test_switch, false, "a switch");
DECLARE_string(node);
DECLARE_string(output);

using namespace hornbeamrail;
using namespace hornbeamrail::cli;

namespace {

std::vector<std::string> received;

int record_arguments(int argc, char** argv) {
    received.assign(argv, argv + argc);
    return exit_done;
}

int fail(int, char**) {
    throw std::runtime_error("failure inside a command");
}

const std::array table{
    command{
        "zone out", "ZONE", "two words", {"node", "test_number", "test_switch", "output"}, record_arguments},
    command{"zone", "", "one word", {}, record_arguments}, command{"broken", "", "throws", {}, fail}};

int run(std::vector<std::string> words) {
    words.insert(words.begin(), "hornbeamrail");
    std::vector<char*> pointers;
    for (auto& word : words) {
        pointers.push_back(word.data());
    }
    FLAGS_node = "default";
    FLAGS_test_number = 5;
    FLAGS_test_switch = false;
    FLAGS_output = "text";
    received.clear();
    return run_command_line(table, static_cast<int>(pointers.size()), pointers.data());
}

std::vector<std::string> diff_of(const char* old_text, const char* new_text) {
    std::vector<std::string> lines;
    for (const auto& entry : diff_documents(boost::json::parse(old_text), boost::json::parse(new_text))) {
        lines.push_back(to_string(entry));
    }
    return lines;
}

} // namespace

// A two-word command must not be mistaken for the command named by its first word.
BOOST_AUTO_TEST_CASE(longest_command_name_wins) {
    BOOST_TEST(run({"zone", "out", "a"}) == exit_done);
    BOOST_TEST(received == (std::vector<std::string>{"zone out", "a"}), boost::test_tools::per_element());
    BOOST_TEST(run({"zone"}) == exit_done);
    BOOST_TEST(received.front() == "zone");
}

BOOST_AUTO_TEST_CASE(flags_are_set_and_removed_from_the_arguments) {
    BOOST_TEST(
        run({"zone", "out", "--test_number=7", "a", "--test_switch", "-output", "json", "--", "--b"}) == 0);
    BOOST_TEST(FLAGS_test_number == 7);
    BOOST_TEST(FLAGS_test_switch);
    BOOST_TEST(FLAGS_output == "json");
    BOOST_TEST(received == (std::vector<std::string>{"zone out", "a", "--b"}),
               boost::test_tools::per_element());
    BOOST_TEST(run({"zone", "out", "--test_switch", "--notest_switch"}) == 0);
    BOOST_TEST(!FLAGS_test_switch);
}

// Every value of a repeated --node must be kept, not only the last.
BOOST_AUTO_TEST_CASE(repeated_node_flags_are_kept) {
    BOOST_TEST(run({"zone", "out", "--node", "1.1.1.1:1", "--node=2.2.2.2:2"}) == exit_done);
    BOOST_TEST(FLAGS_node == "1.1.1.1:1,2.2.2.2:2");
}

// Scripts rely on these exit codes.
BOOST_AUTO_TEST_CASE(invalid_input_ends_with_its_exit_code) {
    BOOST_TEST(run({}) == exit_invalid);
    BOOST_TEST(run({"unknown"}) == exit_invalid);
    BOOST_TEST(run({"zone", "out", "--unknown"}) == exit_invalid);
    BOOST_TEST(run({"zone", "--test_number=1"}) == exit_invalid);
    BOOST_TEST(run({"zone", "out", "--test_number=many"}) == exit_invalid);
    BOOST_TEST(run({"zone", "out", "--test_number"}) == exit_invalid);
    BOOST_TEST(run({"zone", "out", "--output=xml"}) == exit_invalid);
    BOOST_TEST(run({"broken"}) == exit_unknown);
    BOOST_TEST(run({"zone", "out", "--help"}) == exit_done);
    BOOST_TEST(received.empty());
    for (const auto& [code, expected] :
         {std::pair{errc::rejected, exit_refused}, std::pair{errc::conflict, exit_refused},
          std::pair{errc::unavailable, exit_refused}, std::pair{errc::unreachable, exit_unknown},
          std::pair{errc::timed_out, exit_unknown}, std::pair{errc::parse_failed, exit_invalid}}) {
        BOOST_TEST(print_error({code, "message", "remedy"}) == expected);
    }
}

// A new order of a table is not a difference; a removed entry is.
BOOST_AUTO_TEST_CASE(diff_compares_tables_by_name) {
    BOOST_TEST(
        diff_of(R"({"t":[{"name":"a","v":1},{"name":"b"}]})", R"({"t":[{"name":"b"},{"name":"a","v":1}]})")
            .empty());
    const auto lines = diff_of(R"({"t":[{"name":"a","v":1,"l":["x"]},{"name":"b"}],"old":1})",
                               R"({"t":[{"name":"a","v":2,"l":["x","y"]},{"name":"c"}]})");
    const std::vector<std::string> expected{"~ $.t[a].v: 1 -> 2", R"(~ $.t[a].l: ["x"] -> ["x","y"])",
                                            R"(- $.t[b]: {"name":"b"})", R"(+ $.t[c]: {"name":"c"})",
                                            "- $.old: 1"};
    BOOST_TEST(lines == expected, boost::test_tools::per_element());
}

// Writing and reading a fleet configuration must not cause a difference.
BOOST_AUTO_TEST_CASE(equal_fleet_configurations_have_no_difference) {
    const auto document = to_json(sample_fleet_config());
    std::vector<diagnostic> found;
    BOOST_TEST(diff_documents(document, to_json(read_fleet_config(document, found))).empty());
    BOOST_TEST(found.empty());
}

BOOST_AUTO_TEST_CASE(tables_are_aligned) {
    const auto rows = boost::json::parse(R"([{"a":"long value","b":1},{"b":null,"c":2.5}])").as_array();
    BOOST_TEST(format_table(rows, {"a", "b", "c"}) ==
               "a           b  c\nlong value  1\n               2.5\n");
}
