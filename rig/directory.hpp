/// A stand-in for the agent of discovery (the platform's protocol, "Discovery" and "Notices").
///
/// It keeps the list with its versions, answers watches by itself, takes notices, and misbehaves by script: a
/// queue of faults, of which each list request takes the next. It notes when each drain or departure was
/// first written whole to a forwarder, in whatever answer. Its own thread; the calls below are safe from any.
#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "rig/http.hpp"
#include "rig/paced_answer.hpp"

namespace lockgw::rig {

using Json = nlohmann::json;

struct ListFault {
    enum class Kind {
        None,
        Hang,     ///< no answer; the connection stays
        Stop,     ///< `at` bytes of the answer's body, then nothing; the connection stays
        Cut,      ///< `at` bytes, then closed
        Reset,    ///< `at` bytes, then reset
        Trickle,  ///< `at` bytes at a time with pauses of `span`
        Late,     ///< the answer as it is now, written after `span`
        Garbage,  ///< no HTTP
        NoJson,   ///< an answer whose body is cut though its length agrees
        Huge,     ///< 3 GB are announced, and bytes come without end for a while
        Interim,  ///< 1xx answers ahead
        Twice,    ///< two answers
        Status,   ///< 503
        Refuse,   ///< closed, and connections are refused for `span`
        Freeze,   ///< closed, and connections do not come up for `span`
    };
    Kind kind = Kind::None;
    std::size_t at = 0;
    std::chrono::milliseconds span{0};
};
/// By its name in lower case, as in a script; throws std::invalid_argument.
ListFault::Kind fault_kind(const std::string& name);
/// As a test's name shows it.
std::ostream& operator<<(std::ostream& out, const ListFault& fault);

/// What a post of notices meets: it is never answered, and its notices were heard (Mute) or not (Deaf).
enum class PostFault { Deaf, Mute };

class Directory {
public:
    /// Port 0: any free one.
    explicit Directory(const Tcp::endpoint& address = {boost::asio::ip::address_v4::loopback(), 0});
    ~Directory();

    std::string address() const;
    /// Puts an entry in the place of the one with its id, as a new version. `terminated` takes it off.
    void put(const Json& member);
    /// Several at once, as one version.
    void put_all(const std::vector<Json>& members);
    /// The agent starts anew and counts from `revision`; the list stays.
    void count_anew(std::int64_t revision);
    void fault(const ListFault& fault);
    void post_fault(PostFault fault, std::size_t times = 1);
    void clear_faults();
    /// How answers without a fault are written from now on.
    void pace(const Pace& pace);
    /// Bytes of the answers that were written at a pace.
    std::size_t paced_bytes() const;

    /// When an entry that stops this target was first written whole; none if it was not.
    std::optional<Clock::time_point> stop_told(const std::string& id) const;
    std::vector<std::string> requests() const;  ///< paths of list requests, in order
    std::vector<Json> notices() const;
    /// Those behind the first so many.
    std::vector<Json> notices_from(std::size_t first) const;
    /// How often the end of this message was told.
    std::size_t notices_of(const std::string& id) const;
    /// When the end of this message was told first; none if it was not.
    std::optional<Clock::time_point> notice_told(const std::string& id) const;
    std::size_t posts() const;  ///< requests with notices, answered or not
    /// Waits until `revision` was asked from, which says that it was taken; false after `within`.
    bool wait_asked_from(std::int64_t revision, std::chrono::milliseconds within) const;
    /// Whether this revision or a later one was asked from, which says that it was taken.
    bool asked_from(std::int64_t revision) const;
    std::int64_t revision() const;
    std::size_t faults_left() const;

private:
    struct Version {
        std::int64_t revision;
        std::string id;
    };
    struct Held {
        std::shared_ptr<Peer> peer;
        std::int64_t from;
        std::uint64_t number;
    };

    void handle(const std::shared_ptr<Peer>& peer, const Request& request);
    void list(const std::shared_ptr<Peer>& peer, const std::string& path);
    void take_notices(const std::shared_ptr<Peer>& peer, const std::string& body);
    void answer_held();
    void reply(const std::shared_ptr<Peer>& peer, std::optional<std::int64_t> from);
    void write_paced(const std::shared_ptr<Peer>& peer, const std::shared_ptr<PacedAnswer>& answer);
    void write_next_piece(const std::shared_ptr<Peer>& peer, const std::shared_ptr<PacedAnswer>& answer);
    void misbehave(const std::shared_ptr<Peer>& peer, const ListFault& fault, const std::string& body);
    void wrote(const std::string& body, std::size_t bytes, Clock::time_point when);
    Json list_of(std::optional<std::int64_t> from) const;

    boost::asio::io_context io_;
    Server server_;
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::map<std::string, Json> members_;  // those that have gone too, as terminated
    std::vector<Version> versions_;
    std::int64_t revision_ = 1, oldest_ = 1;
    std::deque<ListFault> faults_;
    std::optional<Pace> pace_;
    Link link_;
    std::size_t paced_bytes_ = 0;
    std::deque<PostFault> post_faults_;
    std::size_t posts_ = 0;
    std::vector<Held> held_;
    std::uint64_t holds_ = 0;
    std::map<std::string, Clock::time_point> stops_;
    std::vector<std::string> requests_;
    std::vector<Json> notices_;
    std::map<std::string, Clock::time_point> notices_told_;  // the first of each message
    std::thread thread_;
};

}  // namespace lockgw::rig
