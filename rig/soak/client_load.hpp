/// A client that hands messages of all classes in at one forwarder, over one connection, at a steady rate.
///
/// It uses its connection until that ends, sends a request once more on a new one if its connection ends
/// unanswered, gives some requests up early, and withdraws some messages, one by one and in bursts. One event
/// loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "rig/soak/observations.hpp"

namespace lockgw::rig::soak {

struct ClientPlan {
    std::size_t forwarder = 0;
    boost::asio::ip::tcp::endpoint address;
    double per_second = 30;
    Milliseconds shortest_deadline{4000}, longest_deadline{4000};  ///< of each message
    std::int64_t destinations = 6;                                 ///< numbered from 0
    std::map<std::string, Effect> effects;                         ///< by class
    double impatient = 0;  ///< share of requests that are given up within 30 ms
    double withdrawn = 0;  ///< share of messages that are withdrawn, at any time until their deadline
    double batches = 0;    ///< share of requests with which up to 20 others are written, in two pieces
    double bursts = 0;     ///< withdrawals of all messages of one destination, a second
    /// Refused messages are handed in again at once, with a new id and the same key; one with a key only
    /// while the window since it was first handed in has not passed, before which no call can have been made.
    bool hands_in_again = false;
    Milliseconds keyed_window{4000};
};

class ClientLoad {
public:
    /// Whether the forwarder's process has been killed since then, or is about to end.
    using KilledSince = std::function<bool(Clock::time_point)>;

    ClientLoad(boost::asio::io_context& io, const ClientPlan& plan, std::mt19937_64& random,
        Observations& observations, KilledSince killed_since);
    void start();
    void stop();
    /// The agent was told that this message was refused.
    void on_refused(const std::string& id);

private:
    struct Request {
        std::string id, bytes;
        Clock::time_point sent;
        bool repeated = false;
        std::uint64_t batch = 0;  ///< 0: by itself, or its pieces were not written close to one another
    };
    struct Session;
    bool chance(double share);
    Milliseconds up_to(Milliseconds most);
    void later(Milliseconds delay, std::function<void()> step);
    /// What a client wants delivered, by one message or several, one after another.
    struct Order {
        std::string key;
        Clock::time_point first_submitted;
        int tries = 0;
    };
    void tick();
    void submit();
    void submit_batch();
    void write_out(Session& session, std::size_t count);
    void hand_in(
        Order order, const std::string& message_class, std::int64_t destination, Milliseconds deadline);
    void send(Request request);
    void withdraw(const std::string& id);
    Milliseconds withdrawal_by(const ObservedMessage& message);
    void schedule_burst();
    void withdraw_burst();
    void connect();
    void read(const std::shared_ptr<Session>& session);
    void lost(const std::shared_ptr<Session>& session);

    boost::asio::io_context& io_;
    ClientPlan plan_;
    std::mt19937_64& random_;
    Observations& observations_;
    KilledSince killed_since_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<Session> session_;
    std::deque<Request> to_repeat_;
    std::deque<std::string> recent_;       // ids, the newest last
    std::map<std::string, Order> orders_;  // by the id of their last message
    std::uint64_t submitted_ = 0, batches_ = 0;
    bool stopped_ = false;
};

}  // namespace lockgw::rig::soak
