#pragma once

namespace hornbeamrail::cli {

/// `zone out ZONE [--dry_run]`: prints the drill report, then acts.
int run_zone_out(int argc, char** argv);

/// `zone in ZONE`
int run_zone_in(int argc, char** argv);

} // namespace hornbeamrail::cli
