// A wave waits for machines whose tasks may not end, and keeps all other work off them. See claim.txt.

#include "../standin.hpp"

using namespace review;

namespace {

constexpr milliseconds calm{4000};     ///< before the wave
constexpr milliseconds traffic{20000}; ///< from the wave on
constexpr milliseconds between_jobs{500};

verdict run(const std::string& folder, const std::string& scratch) {
    // Their threads run until the process ends.
    auto& record = *new record_file(folder + "/record.txt");
    const int null = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    auto& platform = *new site(record);
    platform.log.write("keyed.op", "config", make_config({"proofing", "printroom"}));
    platform.add_machine("m-0", "proofing", "gl-a");
    platform.add_machine("m-1", "proofing", "gl-a");
    platform.add_machine("m-2", "printroom", "gl-a");
    platform.add_machine("m-3", "printroom", "gl-a");
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
    const auto submit = [&](const std::string& pool, int count, task_kind kind) {
        std::array<char, 17> id{};
        std::snprintf(id.data(), id.size(), "%016zx", jobs.size() + 1);
        sent_job job{.id = id.data(),
                     .prefix = "/" + pool + "/",
                     .pool = pool,
                     .steps = {{.count = count, .kind = kind}}};
        caller.submit(job);
        jobs.push_back(job);
    };
    submit("proofing", 2, {.work = milliseconds(700), .lasts = true});
    submit("printroom", 2, {.work = milliseconds(700), .lasts = true});
    std::this_thread::sleep_for(calm);
    if (has_trouble()) {
        record.report("a wave asks for the upkeep of m-0 and m-1");
        platform.log.write("keyed.op", "wave/1",
                           R"({"Wave":1,"Machines":["m-0","m-1"],"DurationS":26,"Cap":2})");
    }
    const auto begun = steady::now();
    while (steady::now() < begun + traffic) {
        submit("proofing", 2, {.work = milliseconds(500)});
        std::this_thread::sleep_for(between_jobs);
    }
    record.report("end of the traffic: " + std::to_string(jobs.size()) + " jobs handed in");
    std::this_thread::sleep_for(bounds::finish);
    const auto broken = judge_lost(platform, caller, jobs);
    for (const auto& line : broken) {
        record.report("LOST " + line);
    }
    record.report(std::to_string(platform.maintained(1)) + " machines of the wave have begun their upkeep");
    return broken.empty() ? verdict::held : verdict::broken;
}

} // namespace

int main(int, char** argv) {
    run_case(run, argv);
}
