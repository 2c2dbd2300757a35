#include "cli/commands.hpp"
#include "fakes/platform_server.hpp"
#include "node/entry_node.hpp"
#include "protocol/json_log.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>
#include <gflags/gflags.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <thread>

using namespace hornbeamrail;
using namespace hornbeamrail::cli;
namespace json = boost::json;

namespace {

struct outcome {
    int code = -1;
    std::string output;

    [[nodiscard]] json::value document() const { return json::parse(this->output); }
};

/// Redirects standard output to a temporary file until `take()` or destruction.
class captured_output {
public:
    captured_output() : file(std::tmpfile()), original_stdout(dup(STDOUT_FILENO)) {
        std::fflush(stdout);
        dup2(fileno(this->file), STDOUT_FILENO);
    }
    ~captured_output() {
        this->restore();
        close(this->original_stdout);
        std::fclose(this->file);
    }
    captured_output(const captured_output&) = delete;
    captured_output& operator=(const captured_output&) = delete;

    std::string take() {
        this->restore();
        std::string text(static_cast<std::size_t>(std::ftell(this->file)), '\0');
        std::rewind(this->file);
        text.resize(std::fread(text.data(), 1, text.size(), this->file));
        return text;
    }

private:
    void restore() {
        std::fflush(stdout);
        dup2(this->original_stdout, STDOUT_FILENO);
        std::fseek(this->file, 0, SEEK_END);
    }

    std::FILE* file;
    int original_stdout;
};

/// One entry node with the simulated platform. Runs the commands of the binary against its admin port.
class commands_fixture {
public:
    commands_fixture() {
        set_log_threshold(severity::error);
        std::ifstream file(std::string(HORNBEAMRAIL_CONFIG_DIR) + "/lakeshore.json");
        this->text.assign(std::istreambuf_iterator<char>(file), {});
        auto fleet = std::make_shared<const fleet_config>(parse_fleet_config(this->text).value());
        this->platform =
            platform_server::make(this->threads, {.fleet = std::move(fleet), .executors_per_pool = 1})
                .value();
        this->node = entry_node::make({.settings = {.node_id = "n1",
                                                    .zone = "lakeshore-a",
                                                    .region = "lakeshore",
                                                    .caller_address = {"127.0.0.1", 0},
                                                    .peer_address = {"127.0.0.1", 0},
                                                    .admin_address = {"127.0.0.1", 0},
                                                    .platform = this->platform->address()}})
                         .value();
        for (int step = 0; step < 500 && !this->node->healthy(); ++step) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        BOOST_REQUIRE(this->node->healthy());
    }
    ~commands_fixture() {
        this->node.reset();
        this->threads.stop();
    }

    outcome run(std::vector<std::string> words) {
        words.insert(words.begin(), "hornbeamrail");
        words.insert(words.end(), {"--node", to_string(this->node->admin_address()), "--output", "json"});
        return run_words(std::move(words));
    }

    static outcome run_words(std::vector<std::string> words) {
        // Restores the flags, so that they do not leak into the next command.
        const gflags::FlagSaver defaults;
        std::vector<char*> pointers;
        for (auto& word : words) {
            pointers.push_back(word.data());
        }
        captured_output capture;
        const int code = run_command_line(all_commands(), static_cast<int>(pointers.size()), pointers.data());
        return {code, capture.take()};
    }

    /// Writes the fleet configuration with another upper limit of the first team to a temporary file.
    /// @return path of the file
    std::string changed_fleet(std::int64_t limit) {
        auto document = json::parse(this->text);
        document.at("teams").at(0).as_object()["upper_limit"] = limit;
        this->files.push_back(std::tmpfile());
        const auto bytes = json::serialize(document);
        std::fwrite(bytes.data(), 1, bytes.size(), this->files.back());
        std::fflush(this->files.back());
        return "/dev/fd/" + std::to_string(fileno(this->files.back()));
    }

    io_threads threads{2};
    std::string text;
    std::unique_ptr<platform_server> platform;
    std::unique_ptr<entry_node> node;
    std::vector<std::FILE*> files; ///< closed when the process ends
};

} // namespace

// A flag that the command table lists but that is not defined would be refused at every use.
BOOST_AUTO_TEST_CASE(every_command_has_help_and_defined_flags) {
    for (const auto& entry : all_commands()) {
        for (const auto& flag : entry.flags) {
            gflags::CommandLineFlagInfo info;
            BOOST_TEST(gflags::GetCommandLineFlagInfo(std::string(flag).c_str(), &info), flag);
        }
        BOOST_TEST(help_of(entry).find(entry.summary) != std::string::npos);
    }
}

// Runs every command against a real admin port over sockets and checks the documented exit codes.
BOOST_FIXTURE_TEST_CASE(commands_work_against_a_node, commands_fixture) {
    BOOST_TEST(this->run({"check", std::string(HORNBEAMRAIL_CONFIG_DIR) + "/lakeshore.json"}).code ==
               exit_invalid);
    const auto file = std::string(HORNBEAMRAIL_CONFIG_DIR) + "/lakeshore.json";
    BOOST_TEST(commands_fixture::run_words({"hornbeamrail", "check", file}).code == exit_done);

    auto result = this->run({"apply", file});
    BOOST_TEST(result.code == exit_done);
    const auto version = result.document().at("offset").as_int64();
    result = this->run({"diff", file});
    BOOST_TEST(result.document().at("differences").as_array().empty());
    BOOST_TEST(result.document().at("version").as_int64() == version);
    result = this->run({"diff", this->changed_fleet(100)});
    BOOST_TEST(result.document().at("differences").at(0).at("path").as_string() ==
               "$.teams[harbor-games].upper_limit");
    // Two operators edit the same version: the second one gets a conflict.
    BOOST_TEST(this->run({"apply", this->changed_fleet(100)}).code == exit_done);
    result = this->run({"apply", this->changed_fleet(90), "--expected_version", std::to_string(version)});
    BOOST_TEST(result.code == exit_refused);
    BOOST_TEST(result.document().at("reason").as_string().starts_with("conflict"));

    result = this->run({"key", "grant", "harbor-games"});
    BOOST_TEST(result.code == exit_done);
    const std::string key_id(result.document().at("key_id").as_string());
    BOOST_TEST(result.document().at("key").as_string().size() == 64U);
    BOOST_TEST(this->run({"key", "grant", "nobody"}).code == exit_refused);
    BOOST_TEST(this->run({"key", "grant", "harbor-games", "--change_id", "c-1"}).code == exit_invalid);
    BOOST_TEST(this->run({"key", "revoke", key_id}).code == exit_done);
    BOOST_TEST(this->run({"key", "revoke", "none"}).code == exit_refused);
    result = this->run({"key", "list"});
    BOOST_TEST(result.document().at(0).at("revoked").as_bool());

    result = this->run({"zone", "out", "lakeshore-b", "--dry_run"});
    BOOST_TEST(result.document().at("drill").at("defined").as_bool());
    BOOST_TEST(!this->run({"status"}).document().at("zones").at(1).at("out").as_bool());
    result = this->run({"zone", "out", "lakeshore-b", "--change_id", "c-2"});
    BOOST_TEST(result.code == exit_done);
    BOOST_TEST(this->run({"zone", "in", "lakeshore-b"}).code == exit_done);
    // A repeat with the same id returns the first outcome and does not take the zone out again.
    BOOST_TEST(this->run({"zone", "out", "lakeshore-b", "--change_id", "c-2"}).document().at("offset") ==
               result.document().at("offset"));
    BOOST_TEST(!this->run({"status"}).document().at("zones").at(1).at("out").as_bool());
    BOOST_TEST(this->run({"zone", "out", "none"}).code == exit_refused);
    BOOST_TEST(this->run({"zone", "out"}).code == exit_invalid);
    BOOST_TEST(this->run({"vm", "out", "none"}).code == exit_refused);
    BOOST_TEST(this->run({"pool", "list"}).document().as_array().size() == 6U);
    BOOST_TEST(this->run({"dump"}).document().at("configuration").at("version").as_int64() > version);
    BOOST_TEST(this->run({"metrics"}).document().at("counters").as_array().size() > 5U);
    BOOST_TEST(commands_fixture::run_words({"hornbeamrail", "status", "--node", "127.0.0.1:1"}).code ==
               exit_unknown);
    BOOST_TEST(commands_fixture::run_words({"hornbeamrail", "status", "--node", "localhost:1"}).code ==
               exit_invalid);
}
