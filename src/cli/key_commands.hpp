#pragma once

namespace hornbeamrail::cli {

/// `key grant TEAM`: creates a key, prints it once and publishes its hash.
/// @return the exit code
int run_key_grant(int argc, char** argv);

/// `key revoke KEY_ID`: revokes a key on every node.
/// @return the exit code
int run_key_revoke(int argc, char** argv);

/// `key list`: lists the keys with their teams.
/// @return the exit code
int run_key_list(int argc, char** argv);

} // namespace hornbeamrail::cli
