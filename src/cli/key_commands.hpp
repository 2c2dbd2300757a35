#pragma once

namespace hornbeamrail::cli {

/// `key grant TEAM`: makes a key, shows it once and publishes its hash.
int run_key_grant(int argc, char** argv);

/// `key revoke KEY_ID`
int run_key_revoke(int argc, char** argv);

/// `key list`
int run_key_list(int argc, char** argv);

} // namespace hornbeamrail::cli
