#include "cli/key_commands.hpp"

#include "cli/change.hpp"
#include "cli/command.hpp"
#include "cli/json_table.hpp"
#include "protocol/digest.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

DECLARE_string(change_id);
DEFINE_string(key_id, "", "with --change_id: id of the key, as printed by the command that is repeated");
DEFINE_string(key_hash, "", "with --change_id: hash of the key, as printed by the command that is repeated");

namespace hornbeamrail::cli {

namespace {

constexpr std::size_t key_bytes = 32;
constexpr std::size_t key_id_bytes = 8;

struct new_key {
    std::string id;
    std::string key; ///< empty if an earlier grant is repeated
    std::string hash;
};

/// Generates a key, or takes id and hash from the flags if an earlier grant is repeated.
result<new_key> make_key() {
    if (FLAGS_change_id.empty() != FLAGS_key_hash.empty() || FLAGS_key_id.empty() != FLAGS_key_hash.empty()) {
        // The fold ignores a second change with the same id, so a new key under that id would never work.
        return make_error(errc::invalid_argument,
                          "a repeated grant must specify the key of the first attempt",
                          "pass all of --change_id, --key_id and --key_hash as printed, or none of them");
    }
    if (!FLAGS_key_hash.empty()) {
        return new_key{FLAGS_key_id, "", FLAGS_key_hash};
    }
    new_key key_data{random_hex(key_id_bytes), random_hex(key_bytes), ""};
    if (key_data.id.empty() || key_data.key.empty()) {
        return make_error(errc::io_failed, "the random number generator failed",
                          "check the random number generator of the machine");
    }
    key_data.hash = sha256_hex(key_data.key);
    return key_data;
}

} // namespace

int run_key_grant(int argc, char** argv) {
    if (!expect_arguments(argc, argv, 1, "one TEAM")) {
        return exit_invalid;
    }
    error failure;
    new_key key_data;
    const auto report = value_or_error(
        [&]() -> result<change_report> {
            BOOST_LEAF_ASSIGN(key_data, make_key());
            BOOST_LEAF_AUTO(client, make_admin_client());
            return send_change(
                client, resolve_change_id(),
                key_grant_record{.key_id = key_data.id, .key_hash = key_data.hash, .team = argv[1]});
        },
        failure);
    if (!report) {
        return print_error(failure);
    }
    boost::json::object extra{{"key_id", key_data.id}, {"team", argv[1]}};
    const bool may_be_accepted = report->outcome != change_result::rejected;
    if (may_be_accepted && !key_data.key.empty()) {
        extra["key"] = key_data.key;
        if (!wants_json()) {
            print_line(fmt::format("key id: {}\nkey:    {}\n  the key is not stored and not shown again",
                                   key_data.id, key_data.key));
        }
    }
    if (report->outcome != change_result::accepted) {
        extra["key_hash"] = key_data.hash;
    }
    return print_change(*report, fmt::format("key {} for team {}", key_data.id, argv[1]), std::move(extra),
                        fmt::format("--key_id {} --key_hash {}", key_data.id, key_data.hash));
}

int run_key_revoke(int argc, char** argv) {
    if (!expect_arguments(argc, argv, 1, "one KEY_ID")) {
        return exit_invalid;
    }
    return run_change(key_revoke_record{.key_id = argv[1]}, fmt::format("key {} revoked", argv[1]));
}

int run_key_list(int argc, char** argv) {
    if (!expect_arguments(argc, argv, 0, "no arguments")) {
        return exit_invalid;
    }
    return show_table("/admin/status", "keys", {"key_id", "team", "revoked"});
}

} // namespace hornbeamrail::cli
