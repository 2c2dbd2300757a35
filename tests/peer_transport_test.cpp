#include "raw_socket.hpp"
#include "tls_files.hpp"
#include "transport/peer_client.hpp"
#include "transport/peer_server.hpp"
#include "transport/thrift_frame.hpp"

#include <boost/test/unit_test.hpp>

using namespace hornbeamrail;

namespace {

struct peer_result {
    std::optional<wire::PeerResponse> answer;
    std::string failure;
};

wire::PeerRequest fetch_from(std::int64_t offset) {
    wire::FetchRecords fetch;
    fetch.__set_from_offset(offset);
    wire::PeerRequest request;
    request.__set_fetch_records(fetch);
    return request;
}

class peer_fixture {
public:
    ~peer_fixture() { this->threads.stop(); }

    void start(std::shared_ptr<tls_settings> tls = nullptr) {
        this->server = require_value([&] {
            return peer_server::make(this->threads, {.address = {"127.0.0.1", 0}, .tls = std::move(tls)},
                                     [this](const wire::PeerRequest& request) {
                                         wire::Records records;
                                         records.__set_next_offset(request.fetch_records.from_offset + 1);
                                         records.records.resize(this->records_in_answer);
                                         for (auto& record : records.records) {
                                             record.__set_data(std::string(1024 * 1024, 'r'));
                                         }
                                         wire::PeerResponse response;
                                         response.__set_records(records);
                                         return response;
                                     });
        });
    }

    peer_result call(peer_client& client, std::int64_t offset,
                     std::chrono::milliseconds timeout = test_timeout) {
        const auto result = std::make_shared<async_result<peer_result>>();
        client.call(this->server->address(), fetch_from(offset), timeout,
                    [result](std::optional<wire::PeerResponse> answer, std::string failure) {
                        result->set({std::move(answer), std::move(failure)});
                    });
        return result->get();
    }

    io_threads threads{2};
    std::unique_ptr<peer_server> server;
    std::size_t records_in_answer = 0;
};

std::string frame_header(std::uint32_t length) {
    return {static_cast<char>(length >> 24U), static_cast<char>(length >> 16U),
            static_cast<char>(length >> 8U), static_cast<char>(length)};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(peer_transport_suite, peer_fixture)

// Guards against mixing up the responses of concurrent calls.
BOOST_AUTO_TEST_CASE(each_call_gets_its_own_answer) {
    this->start();
    peer_client client(this->threads, {.max_connections = 3});
    std::atomic<int> matching{0};
    for (int offset = 0; offset < 100; ++offset) {
        client.call(this->server->address(), fetch_from(offset), test_timeout,
                    [&, offset](const std::optional<wire::PeerResponse>& answer, const std::string&) {
                        matching += answer && answer->records.next_offset == offset + 1 ? 1 : 0;
                    });
    }
    BOOST_TEST(eventually([&] { return matching == 100; }));
    BOOST_TEST(this->server->counters().accepted <= 3);
}

// Guards against allocating memory for a length field alone, and against a server that a malformed frame
// stops.
BOOST_AUTO_TEST_CASE(malformed_frames_close_their_connection_only) {
    this->start();
    const std::vector<std::string> frames{frame_header(max_frame_bytes + 1) + "x", frame_header(0xffffffff),
                                          frame_header(0), frame_header(5) + "\xff\xff\xff\xff\xff",
                                          // A list with a count of 2^28 elements in a frame of 9 bytes.
                                          frame_header(9) +
                                              std::string("\x4c\x29\xfc\xff\xff\xff\xff\x0f\x00", 9)};
    for (const auto& frame : frames) {
        auto peer = raw_socket::connect(this->server->address());
        peer.send(frame);
        peer.end_sending();
        BOOST_TEST(peer.receive_all() == "");
    }
    BOOST_TEST(eventually([&] { return this->server->counters().malformed == 5; }));
    auto truncated = raw_socket::connect(this->server->address());
    truncated.send(frame_header(1000) + "only a part");
    truncated.close();
    BOOST_TEST(eventually([&] { return this->server->counters().malformed == 6; }));
    peer_client client(this->threads, {});
    BOOST_TEST(this->call(client, 7).answer.has_value());
    BOOST_TEST(this->server->counters().requests == 1);
}

// Guards against sending a frame that exceeds the limit of the receiver.
BOOST_AUTO_TEST_CASE(oversized_message_is_not_sent) {
    this->start();
    peer_client client(this->threads, {});
    this->records_in_answer = 3;
    BOOST_TEST(this->call(client, 1).answer.has_value());
    this->records_in_answer = 5;
    BOOST_TEST(!this->call(client, 1).answer.has_value());
}

// Guards against a peer that accepts connections but never responds.
BOOST_AUTO_TEST_CASE(call_to_unresponsive_peer_times_out) {
    async_result<bool> done;
    raw_server unresponsive([&](raw_socket&, int) { done.get(); });
    peer_client client(this->threads, {});
    async_result<peer_result> result;
    client.call(unresponsive.address(), fetch_from(1), 100ms,
                [&](std::optional<wire::PeerResponse> answer, std::string failure) {
                    result.set({std::move(answer), std::move(failure)});
                });
    BOOST_TEST(!result.get().answer.has_value());
    done.set(true);
}

// Guards against a second process that binds the address of a running one.
BOOST_AUTO_TEST_CASE(address_is_bound_exclusively) {
    this->start();
    error failure;
    const auto second = value_or_error(
        [&] {
            return peer_server::make(this->threads, {.address = this->server->address()},
                                     [](const wire::PeerRequest&) { return wire::PeerResponse(); });
        },
        failure);
    BOOST_TEST(!second.has_value());
    BOOST_TEST((failure.code == errc::io_failed));
}

// Guards against accepting connections from unknown processes or from nodes of another site.
BOOST_AUTO_TEST_CASE(tls_peer_of_another_authority_is_refused) {
    const test_authority ours("ours");
    const test_authority theirs("theirs");
    const auto identity = [](const test_authority& authority, tls_role role) {
        return require_value([&] { return tls_settings::make(authority.files(), role); });
    };
    this->start(identity(ours, tls_role::mutual_server));
    peer_client member(this->threads, {.tls = identity(ours, tls_role::mutual_client)});
    BOOST_TEST(this->call(member, 1).answer.has_value());
    peer_client stranger(this->threads, {.tls = identity(theirs, tls_role::mutual_client)});
    BOOST_TEST(!this->call(stranger, 1).answer.has_value());
    peer_client plain(this->threads, {});
    BOOST_TEST(!this->call(plain, 1, 1s).answer.has_value());
    // A valid client certificate with another CA: the client must reject the server.
    auto mixed = ours.files();
    mixed.ca = theirs.files().ca;
    peer_client distrusting(this->threads, {.tls = require_value([&] {
                                                return tls_settings::make(mixed, tls_role::mutual_client);
                                            })});
    BOOST_TEST(!this->call(distrusting, 1).answer.has_value());
    BOOST_TEST(this->server->counters().requests == 1);
}

// Guards against a certificate renewal that needs a restart, and against an outage because of an invalid
// file.
BOOST_AUTO_TEST_CASE(certificates_are_reloaded) {
    const test_authority first("first");
    const test_authority second("second");
    const test_directory directory;
    const auto files = directory.copy_files(first.files());
    const auto server_identity =
        require_value([&] { return tls_settings::make(files, tls_role::mutual_server); });
    this->start(server_identity);
    const auto reload = [&] {
        error failure;
        return value_or_error(
                   [&]() -> result<bool> {
                       BOOST_LEAF_CHECK(server_identity->reload());
                       return true;
                   },
                   failure)
            .has_value();
    };
    const auto accepts = [&](const test_authority& authority) {
        peer_client client(this->threads, {.tls = require_value([&] {
                                               return tls_settings::make(authority.files(),
                                                                         tls_role::mutual_client);
                                           })});
        return this->call(client, 1).answer.has_value();
    };
    BOOST_TEST(accepts(first));
    directory.copy_files(second.files());
    BOOST_TEST(reload());
    BOOST_TEST(accepts(second));
    BOOST_TEST(!accepts(first));
    directory.corrupt(files.certificate);
    BOOST_TEST(!reload());
    BOOST_TEST(accepts(second));
}

BOOST_AUTO_TEST_SUITE_END()
