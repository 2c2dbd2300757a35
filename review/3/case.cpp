// The checkpoints of one wide job do not fit into one record of the log. See claim.txt.

#include "../standin.hpp"

using namespace review;

namespace {

constexpr int wide_tasks = 1990;
constexpr std::size_t long_checkpoint = 128; ///< bytes of `Saved`
constexpr std::size_t short_checkpoint = 16; ///< bytes of `Saved` in the examples of PROTOCOL
constexpr milliseconds traffic{25000};
constexpr milliseconds between_jobs{500};

verdict run(const std::string& folder, const std::string& scratch) {
    // Their threads run until the process ends.
    auto& record = *new record_file(folder + "/record.txt");
    const int null = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    auto& platform = *new site(record);
    platform.log.write("keyed.op", "config", make_config({"printroom", "proofing"}));
    for (int number = 0; number < 4; ++number) {
        platform.add_machine("m-" + std::to_string(number), "printroom", "gl-a", 32000);
    }
    for (int number = 4; number < 7; ++number) {
        platform.add_machine("m-" + std::to_string(number), "proofing", "gl-a", 32000);
    }
    std::vector<std::unique_ptr<entry_node>> nodes;
    for (int number = 0; number < 3; ++number) {
        nodes.push_back(std::make_unique<entry_node>("edge-gl-a-" + std::to_string(number), "gl-a", scratch,
                                                     platform.address()));
        nodes.back()->start(null);
    }
    const auto all_ready = [&] {
        return std::all_of(nodes.begin(), nodes.end(), [](const auto& node) { return node->is_ready(); });
    };
    if (!wait_until(all_ready, milliseconds(20000))) {
        record.report("the nodes did not become ready");
        return verdict::not_run;
    }
    client caller(record, nodes);
    std::vector<sent_job> jobs;
    const auto submit = [&](const std::string& pool, std::vector<job_step> steps) {
        std::array<char, 17> id{};
        std::snprintf(id.data(), id.size(), "%016zx", jobs.size() + 1);
        sent_job job{.id = id.data(), .prefix = "/" + pool + "/", .pool = pool, .steps = std::move(steps)};
        caller.submit(job);
        jobs.push_back(job);
    };
    const auto bytes = has_trouble() ? long_checkpoint : short_checkpoint;
    const auto begun = steady::now();
    bool sent_wide = false;
    while (steady::now() < begun + traffic) {
        if (!sent_wide && steady::now() > begun + milliseconds(3000)) {
            sent_wide = true;
            record.report("a job of " + std::to_string(wide_tasks) + " tasks comes, with checkpoints of " +
                          std::to_string(bytes) + " bytes");
            submit("printroom",
                   {{.count = 10, .kind = {.work = milliseconds(3000), .cpu = 50}, .parallel = true},
                    {.count = wide_tasks,
                     .kind = {.work = milliseconds(8000), .cpu = 50, .checkpoint_bytes = bytes},
                     .parallel = true}});
        }
        submit("proofing", {{.count = 2, .kind = {.work = milliseconds(500)}}});
        std::this_thread::sleep_for(between_jobs);
    }
    record.report("end of the traffic: " + std::to_string(jobs.size()) + " jobs handed in");
    std::this_thread::sleep_for(bounds::finish);
    const auto broken = judge_lost(platform, caller, jobs);
    for (const auto& line : broken) {
        record.report("LOST " + line);
    }
    record.report("largest record that the store refused: " + std::to_string(platform.log.largest_refused()) +
                  " bytes");
    return broken.empty() ? verdict::held : verdict::broken;
}

} // namespace

int main(int, char** argv) {
    run_case(run, argv);
}
