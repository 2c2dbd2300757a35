#pragma once

namespace hornbeamrail::cli {

/// `zone out ZONE [--dry_run]`: prints the capacity that remains without the zone, then takes the zone out of
/// service unless --dry_run is set.
/// @return the exit code
int run_zone_out(int argc, char** argv);

/// `zone in ZONE`: brings a zone back into service.
/// @return the exit code
int run_zone_in(int argc, char** argv);

} // namespace hornbeamrail::cli
