#include "rig/directory.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <ostream>
#include <set>
#include <sstream>
#include <stdexcept>

namespace lockgw::rig {

using Kind = ListFault::Kind;
using namespace std::chrono_literals;

namespace {

std::optional<std::int64_t> parameter(const std::string& path, const std::string& name) {
    const auto at = path.find(name + "=");
    if (at == std::string::npos) return std::nullopt;
    return std::stoll(path.substr(at + name.size() + 1));
}

}  // namespace

namespace {

const std::map<std::string, Kind>& fault_names() {
    static const std::map<std::string, Kind> names{{"none", Kind::None}, {"hang", Kind::Hang},
        {"stop", Kind::Stop}, {"cut", Kind::Cut}, {"reset", Kind::Reset}, {"trickle", Kind::Trickle},
        {"late", Kind::Late}, {"garbage", Kind::Garbage}, {"no_json", Kind::NoJson}, {"huge", Kind::Huge},
        {"interim", Kind::Interim}, {"twice", Kind::Twice}, {"status", Kind::Status},
        {"refuse", Kind::Refuse}, {"freeze", Kind::Freeze}};
    return names;
}

}  // namespace

Kind fault_kind(const std::string& name) {
    const auto found = fault_names().find(name);
    if (found == fault_names().end()) throw std::invalid_argument("no fault is named " + name);
    return found->second;
}
std::ostream& operator<<(std::ostream& out, const ListFault& fault) {
    for (const auto& [name, kind] : fault_names())
        if (kind == fault.kind) out << name;
    return out << "_" << fault.at << "_" << fault.span.count() << "ms";
}

Directory::Directory(const Tcp::endpoint& address)
    : server_(
          io_, address, [this](const auto& peer, const Request& request, auto) { handle(peer, request); }) {
    thread_ = std::thread([this] {
        const auto work = boost::asio::make_work_guard(io_);
        io_.run();
    });
}
Directory::~Directory() {
    io_.stop();
    thread_.join();
}

std::string Directory::address() const {
    return server_.address().address().to_string() + ":" + std::to_string(server_.address().port());
}

void Directory::put(const Json& member) { put_all(std::vector<Json>{member}); }
void Directory::put_all(const std::vector<Json>& members) {
    {
        const std::lock_guard lock(mutex_);
        ++revision_;
        for (const Json& member : members) {
            const std::string id = member.at("id");
            members_.insert_or_assign(id, member);
            if (member.at("phase") == "in_service") stops_.erase(id);
            versions_.push_back({revision_, id});
        }
    }
    boost::asio::post(io_, [this] { answer_held(); });
}

void Directory::count_anew(std::int64_t revision) {
    const std::lock_guard lock(mutex_);
    revision_ = oldest_ = revision;
    versions_.clear();
}

void Directory::fault(const ListFault& fault) {
    const std::lock_guard lock(mutex_);
    faults_.push_back(fault);
}
void Directory::post_fault(PostFault fault, std::size_t times) {
    const std::lock_guard lock(mutex_);
    post_faults_.insert(post_faults_.end(), times, fault);
}
void Directory::clear_faults() {
    const std::lock_guard lock(mutex_);
    faults_.clear();
    post_faults_.clear();
}

void Directory::pace(const Pace& pace) {
    const std::lock_guard lock(mutex_);
    pace_ = pace;
}
std::size_t Directory::paced_bytes() const {
    const std::lock_guard lock(mutex_);
    return paced_bytes_;
}

std::optional<Clock::time_point> Directory::stop_told(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    const auto found = stops_.find(id);
    return found == stops_.end() ? std::nullopt : std::optional(found->second);
}
std::vector<std::string> Directory::requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
}
std::vector<Json> Directory::notices() const {
    const std::lock_guard lock(mutex_);
    return notices_;
}
std::vector<Json> Directory::notices_from(std::size_t first) const {
    const std::lock_guard lock(mutex_);
    const auto begin = notices_.begin() + static_cast<std::ptrdiff_t>(std::min(first, notices_.size()));
    return {begin, notices_.end()};
}
std::optional<Clock::time_point> Directory::notice_told(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    const auto found = notices_told_.find(id);
    return found == notices_told_.end() ? std::nullopt : std::optional(found->second);
}
std::size_t Directory::notices_of(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(
        notices_.begin(), notices_.end(), [&](const Json& one) { return one.at("ref") == id; }));
}
std::size_t Directory::posts() const {
    const std::lock_guard lock(mutex_);
    return posts_;
}
std::int64_t Directory::revision() const {
    const std::lock_guard lock(mutex_);
    return revision_;
}
std::size_t Directory::faults_left() const {
    const std::lock_guard lock(mutex_);
    return faults_.size();
}
bool Directory::wait_asked_from(std::int64_t revision, std::chrono::milliseconds within) const {
    const std::string wanted = "/v1/servers?from=" + std::to_string(revision) + "&";
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, within, [&] {
        for (const std::string& path : requests_)
            if (path.starts_with(wanted)) return true;
        return false;
    });
}

bool Directory::asked_from(std::int64_t revision) const {
    const std::lock_guard lock(mutex_);
    return std::any_of(requests_.begin(), requests_.end(),
        [&](const std::string& path) { return parameter(path, "from").value_or(-1) >= revision; });
}

void Directory::handle(const std::shared_ptr<Peer>& peer, const Request& request) {
    const std::string path(request.target());
    if (path == "/reports") return take_notices(peer, request.body());
    list(peer, path);
}

void Directory::take_notices(const std::shared_ptr<Peer>& peer, const std::string& body) {
    const std::lock_guard lock(mutex_);
    ++posts_;
    std::optional<PostFault> fault;
    if (!post_faults_.empty()) {
        fault = post_faults_.front();
        post_faults_.pop_front();
    }
    if (fault != PostFault::Deaf) {
        std::istringstream lines(body);
        for (std::string line; std::getline(lines, line);) {
            notices_.push_back(Json::parse(line));
            notices_told_.emplace(notices_.back().at("ref"), Clock::now());
        }
    }
    changed_.notify_all();
    if (fault) return peer->after(60s, [] {});
    peer->write(answer(204, ""), [peer](auto) { peer->read(); });
}

void Directory::list(const std::shared_ptr<Peer>& peer, const std::string& path) {
    const auto from = parameter(path, "from");
    const auto hold = std::chrono::milliseconds(parameter(path, "hold_ms").value_or(0));
    bool held = false;
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(mutex_);
        requests_.push_back(path);
        changed_.notify_all();
        held = from && *from == revision_ && hold > 0ms;
        if (held) held_.push_back({peer, *from, number = ++holds_});
    }
    if (!held) return reply(peer, from);
    peer->after(hold, [this, number] {
        std::optional<Held> over;
        {
            const std::lock_guard lock(mutex_);
            for (auto place = held_.begin(); place != held_.end(); ++place)
                if (place->number == number) {
                    over = *place;
                    held_.erase(place);
                    break;
                }
        }
        if (over) reply(over->peer, over->from);
    });
}

void Directory::answer_held() {
    std::vector<Held> due;
    {
        const std::lock_guard lock(mutex_);
        due.swap(held_);
    }
    for (const Held& one : due) reply(one.peer, one.from);
}

Json Directory::list_of(std::optional<std::int64_t> from) const {
    const bool changes = from && *from >= oldest_ && *from <= revision_;
    Json members = Json::array();
    std::set<std::string> named;
    for (const Version& version : versions_)
        if (changes && version.revision > *from) named.insert(version.id);
    for (const auto& [id, member] : members_)
        if (changes ? named.contains(id) : member.at("phase") != "terminated") members.push_back(member);
    return Json{{"revision", revision_}, {"complete", !changes}, {"members", members}};
}

void Directory::reply(const std::shared_ptr<Peer>& peer, std::optional<std::int64_t> from) {
    ListFault fault;
    Json list;
    std::optional<Pace> pace;
    {
        const std::lock_guard lock(mutex_);
        list = list_of(from);
        pace = pace_;
        if (!faults_.empty()) {
            fault = faults_.front();
            faults_.pop_front();
        }
    }
    const std::string body = list.dump();
    if (fault.kind != Kind::None) return misbehave(peer, fault, body);
    if (pace) {
        const std::string whole = answer(200, body);
        const std::string head = whole.substr(0, whole.size() - body.size());
        return write_paced(peer, std::make_shared<PacedAnswer>(*pace, head, body, list, Clock::now()));
    }
    peer->write(answer(200, body), [this, peer, body](Clock::time_point when) {
        wrote(body, body.size(), when);
        peer->read();
    });
}

void Directory::write_paced(const std::shared_ptr<Peer>& peer, const std::shared_ptr<PacedAnswer>& answer) {
    const auto now = Clock::now();
    const auto pause = std::max(answer->next_due(link_, now) - now, Clock::duration::zero());
    if (pause == Clock::duration::zero()) return write_next_piece(peer, answer);
    peer->after(std::chrono::ceil<std::chrono::milliseconds>(pause),
        [this, peer, answer] { write_next_piece(peer, answer); });
}
void Directory::write_next_piece(
    const std::shared_ptr<Peer>& peer, const std::shared_ptr<PacedAnswer>& answer) {
    std::string piece = answer->next_piece();
    const std::size_t size = piece.size();
    peer->write(std::move(piece), [this, peer, answer, size](Clock::time_point when) {
        {
            const std::lock_guard lock(mutex_);
            paced_bytes_ += size;
            for (const std::string& id : answer->stops_written()) stops_.emplace(id, when);
            changed_.notify_all();
        }
        answer->done() ? peer->read() : write_paced(peer, answer);
    });
}

void Directory::misbehave(
    const std::shared_ptr<Peer>& peer, const ListFault& fault, const std::string& body) {
    const std::string whole = answer(200, body);
    const std::size_t head = whole.size() - body.size();
    const std::size_t at = std::min(fault.at, body.size());
    const auto some = [this, peer, body, at, piece = whole.substr(0, head + at)](auto then) {
        peer->write(piece, [this, peer, body, at, then](Clock::time_point when) {
            wrote(body, at, when);
            then();
        });
    };
    const auto all = [this, peer, body](const std::string& bytes) {
        peer->write(bytes, [this, peer, body](Clock::time_point when) {
            wrote(body, body.size(), when);
            peer->read();
        });
    };
    const auto stay = [peer] { peer->after(60s, [] {}); };
    switch (fault.kind) {
        case Kind::None:
            return all(whole);
        case Kind::Hang:
            return stay();
        case Kind::Stop:
            return some(stay);
        case Kind::Cut:
            return some([peer] { peer->close(); });
        case Kind::Reset:
            return some([peer] { peer->reset(); });
        case Kind::Trickle:
            return peer->trickle(whole, std::max<std::size_t>(1, fault.at), fault.span,
                [this, peer, body](Clock::time_point when) {
                    wrote(body, body.size(), when);
                    peer->read();
                });
        case Kind::Late:
            return peer->after(fault.span, [all, whole] { all(whole); });
        case Kind::Garbage:
            return peer->write("no HTTP at all\r\n\r\n", [peer](auto) { peer->read(); });
        case Kind::NoJson:
            return peer->write(answer(200, body.substr(0, at)), [this, peer, body, at](auto when) {
                wrote(body, at, when);
                peer->read();
            });
        case Kind::Huge:
            return peer->trickle(
                "HTTP/1.1 200 X\r\nContent-Length: 3000000000\r\n\r\n" + std::string(8u << 20, ' '),
                256u << 10, 1ms, [peer](auto) { peer->close(); });
        case Kind::Interim:
            return all("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nX: y\r\n\r\n" + whole);
        case Kind::Twice:
            return all(whole + whole);
        case Kind::Status:
            return peer->write(answer(503, "no"), [peer](auto) { peer->read(); });
        case Kind::Refuse:
            peer->reset();
            return server_.refuse_for(fault.span);
        case Kind::Freeze:
            peer->reset();
            return server_.freeze_for(fault.span);
    }
}

/// Notes the stops that stand whole in the first `bytes` of a body.
void Directory::wrote(const std::string& body, std::size_t bytes, Clock::time_point when) {
    const std::lock_guard lock(mutex_);
    const Json list = Json::parse(body);
    for (const Json& member : list.at("members")) {
        const std::string text = member.dump();
        const auto at = body.find(text);
        if (member.at("phase") == "in_service" || at == std::string::npos || at + text.size() > bytes)
            continue;
        stops_.emplace(member.at("id"), when);
    }
    changed_.notify_all();
}

}  // namespace lockgw::rig
