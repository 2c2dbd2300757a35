#pragma once

#include "protocol/platform_port.hpp"
#include "state/job_progress.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The progress of a job in the log.
//
// The main record, under the id of the job, holds its state and all tasks while they fit. Otherwise it holds
// the state and the number of parts, and each part holds the tasks of a fixed range. A part is written again
// only when more than checkpoints of its tasks changed. Readers may see parts of different times: each task
// has its place in one part, and what a part says of a task holds until a later one replaces it.

namespace hornbeamrail {

/// Encodes what changed since the previous call.
///
/// Checkpoints that do not fit into the record of their part are left out, the longest first: if another node
/// takes over, their tasks start from the beginning.
/// @param job its `recorded` is updated. The caller clears `recorded.digests` if the log does not store the
/// records, and
///     sets `recorded.parts_are_counted` once they are stored.
/// @param max_record_bytes largest record that the log accepts, see `bytes_in_log`
/// @return the records, to be stored in this order; the main record is one of them
std::vector<keyed_record> encode_progress(job_progress& job, std::size_t max_record_bytes);

/// Restores state and progress from the main record; after an error they may be incomplete.
/// @return `errc::parse_failed` when the text is malformed or does not match the job
result<void> decode_progress(job_progress& job, std::string_view text);

/// Restores the tasks of one part, after the main record. A part that the main record does not count is
/// ignored: it was written by a scheduler that did not store the main record.
/// @param part number of the part
/// @return `errc::parse_failed` when the text is malformed or does not match the job
result<void> decode_progress_part(job_progress& job, std::int32_t part, std::string_view text);

/// Key of a record in the progress topic.
struct progress_key {
    std::string job;
    std::optional<std::int32_t> part; ///< absent: the main record
};

/// @return the parsed key; the whole text is the job if it names no part
progress_key parse_progress_key(std::string_view key);

/// @return records that delete the progress of a job from the log
/// @param parts `recorded_progress::parts` of the job
std::vector<keyed_record> delete_progress(const std::string& job, std::int32_t parts);

} // namespace hornbeamrail
