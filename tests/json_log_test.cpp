#include "protocol/json_log.hpp"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <future>
#include <string>

// Readers of the log that are slow, stopped or gone.

using namespace hornbeamrail;

namespace {

/// Replaces the standard output of the process by a pipe. The destructor restores it.
class captured_output {
public:
    captured_output() : original(dup(STDOUT_FILENO)) {
        BOOST_REQUIRE(pipe(this->ends.data()) == 0);
        dup2(this->ends[1], STDOUT_FILENO);
        close(this->ends[1]);
        fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    }
    ~captured_output() {
        dup2(this->original, STDOUT_FILENO);
        close(this->original);
        this->close_reader();
    }
    captured_output(const captured_output&) = delete;
    captured_output& operator=(const captured_output&) = delete;

    /// @return what has been written and not read yet
    std::string read_all() {
        std::string text;
        std::array<char, 65536> part{};
        for (auto count = read(this->ends[0], part.data(), part.size()); count > 0;
             count = read(this->ends[0], part.data(), part.size())) {
            text.append(part.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

    void close_reader() {
        if (this->ends[0] >= 0) {
            close(this->ends[0]);
            this->ends[0] = -1;
        }
    }

private:
    std::array<int, 2> ends{-1, -1};
    int original;
};

/// @return the last line of @p text as JSON
boost::json::object last_line(std::string text) {
    text.pop_back();
    return boost::json::parse(text.substr(text.rfind('\n') + 1)).as_object();
}

/// @return whether @p function returns within 5 s
template <class Function>
bool returns(captured_output& output, Function function) {
    auto call = std::async(std::launch::async, function);
    const bool in_time = call.wait_for(std::chrono::seconds(5)) == std::future_status::ready;
    while (call.wait_for(std::chrono::milliseconds(10)) != std::future_status::ready) {
        output.read_all(); // lets a call that blocks go on
    }
    return in_time;
}

void write_lines(int count) {
    for (int number = 0; number < count; ++number) {
        // Different events, because the lines of one event are limited.
        write_log(severity::info, "event_" + std::to_string(number), {{"text", std::string(1000, 'x')}});
    }
}

} // namespace

// Guards against a node that stands still in the write of a log line because the reader of its log does.
BOOST_AUTO_TEST_CASE(reader_that_stands_still_blocks_no_writer) {
    log_to_standard_output();
    captured_output output;
    BOOST_TEST(returns(output, [] { write_lines(1000); }));
    const auto text = output.read_all();
    BOOST_TEST(text.back() == '\n'); // whole lines only
    write_log(severity::info, "reader_goes_on", {});
    const auto next = last_line(output.read_all());
    BOOST_TEST(next.at("event").as_string() == "reader_goes_on");
    BOOST_TEST(next.at("lines_dropped").as_int64() > 0);
}

// Guards against a node that ends with the reader of its log, by SIGPIPE.
BOOST_AUTO_TEST_CASE(end_of_the_reader_does_not_end_the_process) {
    log_to_standard_output();
    captured_output output;
    output.close_reader();
    write_lines(3);
}

// Guards against a long line that blocks although the pipe has some room, and against half a line.
BOOST_AUTO_TEST_CASE(long_line_is_written_by_its_head) {
    log_to_standard_output();
    captured_output output;
    write_log(severity::info, "long", {{"text", std::string(100'000, 'x')}});
    const auto line = last_line(output.read_all());
    BOOST_TEST(line.at("event").as_string() == "long");
    BOOST_TEST(line.at("line_bytes").to_number<int>() > 100'000);
}
