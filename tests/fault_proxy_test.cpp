#include "fault_proxy.hpp"

#include "transport/http_client_pool.hpp"
#include "transport/http_server.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <thread>

using namespace hornbeamrail;
using namespace hornbeamrail::test;

namespace {

/// A server that responds to every request with 200, behind a fault proxy.
class proxied_server {
public:
    proxied_server() {
        error failure;
        auto listening = value_or_error(
            [this] {
                return http_server::make(this->threads, {.address = {.address = "127.0.0.1"}},
                                         [](const http_request&, const http_reply& reply) {
                                             reply.send({.status = 200, .body = std::string(20000, 'x')});
                                         });
            },
            failure);
        BOOST_REQUIRE_MESSAGE(listening.has_value(), failure.message);
        this->server = std::move(*listening);
        this->proxy = fault_proxy::make(this->threads, this->server->address());
    }

    ~proxied_server() { this->threads.stop(); }
    proxied_server(const proxied_server&) = delete;
    proxied_server& operator=(const proxied_server&) = delete;

    http_call_result call(std::chrono::milliseconds timeout) {
        std::promise<http_call_result> result;
        this->client.call({.target = this->proxy->address(),
                           .request = {.method = "GET", .target = "/"},
                           .timeout = timeout},
                          [&result](http_call_result value) { result.set_value(std::move(value)); });
        return result.get_future().get();
    }

    /// Keeps @p calls calls in progress until @p stop_requested is true.
    void keep_calling(int calls, const std::atomic<bool>& stop_requested) {
        for (int index = 0; index < calls; ++index) {
            this->call_again(stop_requested);
        }
    }

    [[nodiscard]] std::size_t answers() const { return this->answered; }

    io_threads threads{3};
    std::unique_ptr<http_server> server;
    std::shared_ptr<fault_proxy> proxy;

private:
    void call_again(const std::atomic<bool>& stop_requested) {
        this->client.call({.target = this->proxy->address(),
                           .request = {.method = "GET", .target = "/"},
                           .timeout = std::chrono::milliseconds(200)},
                          [this, &stop_requested](const http_call_result& result) {
                              this->answered += result.status == call_status::answered ? 1 : 0;
                              if (!stop_requested) {
                                  this->call_again(stop_requested);
                              }
                          });
    }

    http_client_pool client{this->threads, {}};
    std::atomic<std::size_t> answered = 0;
};

constexpr std::chrono::milliseconds call_timeout{300};

} // namespace

BOOST_AUTO_TEST_CASE(data_passes_except_on_a_silent_link) {
    proxied_server site;
    BOOST_TEST((site.call(call_timeout).status == call_status::answered));
    site.proxy->set(link_fault::silent);
    BOOST_TEST((site.call(call_timeout).status != call_status::answered));
    site.proxy->set(link_fault::none);
    BOOST_TEST((site.call(call_timeout).status == call_status::answered));
}

// Guards against a data race in the proxy when connections are reset while several threads transfer data:
// both directions of a connection may close both of its sockets.
BOOST_AUTO_TEST_CASE(connections_are_reset_during_data_transfer) {
    std::atomic<bool> stop_requested = false; // callbacks read it until the site is destroyed
    proxied_server site;
    site.keep_calling(32, stop_requested);
    constexpr int resets = 150;
    for (int round = 0; round < resets; ++round) {
        site.proxy->set(link_fault::reset);
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        site.proxy->set(link_fault::none);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    stop_requested = true;
    BOOST_TEST(site.answers() > 0U);
    BOOST_TEST((site.call(call_timeout).status == call_status::answered));
}

// Guards against a fault of the proxy when both ends of a connection close within microseconds of each other,
// as when both processes are killed.
BOOST_AUTO_TEST_CASE(both_ends_close_at_once) {
    using boost::asio::ip::tcp;
    io_threads threads(3);
    boost::asio::io_context context;
    tcp::acceptor listener(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const auto proxy =
        fault_proxy::make(threads, {.address = "127.0.0.1", .port = listener.local_endpoint().port()});
    const tcp::endpoint proxy_endpoint(boost::asio::ip::make_address("127.0.0.1"), proxy->address().port);
    constexpr int rounds = 400;
    constexpr int connections = 8;
    for (int round = 0; round < rounds; ++round) {
        std::vector<tcp::socket> ends;
        for (int index = 0; index < connections; ++index) {
            ends.emplace_back(context).connect(proxy_endpoint);
            ends.push_back(listener.accept());
        }
        for (auto& end : ends) {
            end.set_option(tcp::socket::linger(true, 0));
            end.close();
        }
    }
    threads.stop();
    BOOST_TEST(proxy.use_count() >= 1);
}
