#include "capture/timeline.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <map>
#include <set>

#include "capture/archive.hpp"
#include "policy/state.hpp"

namespace lockgw::capture {

using namespace cometspoke;
using cometspoke::policy::Health;
using cometspoke::policy::State;

namespace {

constexpr int kColumns = 1000, kLeft = 230, kRow = 26, kTop = 46, kRight = 60;

/// How an endpoint stood, for its band.
enum class Band { Unknown, Well, Sick, Returning, Draining };
constexpr std::array<const char*, 5> kBandColour{"#eeeeee", "#dff2df", "#f7d4d0", "#fdf0c4", "#d5d5e8"};

Band band_of(State& state, EndpointId id) {
    const auto found = state.endpoints_.find(id);
    if (found == state.endpoints_.end()) return Band::Unknown;
    if (found->second.condition != Condition::Ready) return Band::Draining;
    return found->second.health == Health::Healthy     ? Band::Well
           : found->second.health == Health::Unhealthy ? Band::Sick
                                                       : Band::Returning;
}

/// What came in one column of an endpoint's row.
struct Calls {
    std::uint32_t served = 0, turned_away = 0, failed = 0;
};
struct EndpointRow {
    std::vector<Band> bands = std::vector<Band>(kColumns, Band::Unknown);
    std::vector<bool> waits = std::vector<bool>(kColumns, false);
    std::vector<Calls> calls = std::vector<Calls>(kColumns);
};
struct DestinationRow {
    std::vector<std::size_t> held = std::vector<std::size_t>(kColumns, 0);
    std::vector<std::uint32_t> refused = std::vector<std::uint32_t>(kColumns, 0);
    std::vector<std::uint32_t> given_up = std::vector<std::uint32_t>(kColumns, 0);
};

std::string escaped(const std::string& text) {
    std::string out;
    for (const char c : text) {
        if (c == '&')
            out += "&amp;";
        else if (c == '<')
            out += "&lt;";
        else if (c == '>')
            out += "&gt;";
        else
            out += static_cast<unsigned char>(c) < 32 ? '?' : c;
    }
    return out;
}

/// Who gets rows: those of the subject, or the destinations that most is told of.
std::map<DestinationId, std::set<EndpointId>> cast_of(const Segment& segment, const TimelineWish& wish) {
    std::map<EndpointId, DestinationId> homes;
    std::map<DestinationId, std::size_t> busy;
    std::map<MessageId, DestinationId> goes;
    Replay replay(segment);
    for (const auto& [id, endpoint] : replay.state().endpoints_) homes[id] = endpoint.destination;
    for (const auto& [id, message] : replay.state().messages_) goes[id] = message.destination;
    for (std::size_t place = 0; place < segment.whole(); ++place)
        for (const auto& [when, event] : segment.batches[place].events) {
            if (const auto* list = std::get_if<ListEvent>(&event))
                for (const ListEntry& entry : list->entries) homes[entry.endpoint] = entry.destination;
            if (const auto* message = std::get_if<MessageEvent>(&event))
                goes[message->message] = message->destination, ++busy[message->destination];
            if (const auto* outcome = std::get_if<OutcomeEvent>(&event))
                if (const auto home = homes.find(outcome->endpoint); home != homes.end())
                    ++busy[home->second];
        }
    std::vector<std::pair<std::size_t, DestinationId>> order;
    for (const auto& [id, count] : busy) order.emplace_back(count, id);
    std::sort(order.rbegin(), order.rend());
    const Subject& subject = wish.subject;
    if (subject.message || subject.endpoint || subject.destination) {
        order.clear();
        if (subject.destination) order.emplace_back(0, *subject.destination);
        if (subject.endpoint && homes.contains(*subject.endpoint))
            order.emplace_back(0, homes.at(*subject.endpoint));
        if (subject.message && goes.contains(*subject.message))
            order.emplace_back(0, goes.at(*subject.message));
    }
    std::map<DestinationId, std::set<EndpointId>> cast;
    std::size_t rows = 0;
    for (const auto& [count, id] : order) {
        std::set<EndpointId> endpoints;
        for (const auto& [endpoint, home] : homes)
            if (home == id) endpoints.insert(endpoint);
        if (rows > 0 && rows + 1 + endpoints.size() > wish.most_rows) break;
        while (endpoints.size() + 1 > wish.most_rows) endpoints.erase(std::prev(endpoints.end()));
        rows += 1 + endpoints.size();
        cast.emplace(id, std::move(endpoints));
    }
    return cast;
}

class Painter {
public:
    Painter(const Segment& segment, const TimelineWish& wish)
        : segment_(segment), cast_(cast_of(segment, wish)), name_of_(names_of(segment)) {
        for (const auto& [id, endpoints] : cast_) {
            destinations_[id];
            for (const EndpointId endpoint : endpoints) endpoints_[endpoint];
        }
        const std::size_t whole = segment.whole();
        if (whole == 0) return;
        begin_ = segment.batches[0].decided;
        span_ = std::max(Time(1), segment.batches[whole - 1].decided - begin_);
    }

    std::string svg() {
        play();
        const int height = kTop + kRow * static_cast<int>(destinations_.size() + endpoints_.size()) + 40;
        out_ = fmt::format(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" "
            "viewBox=\"0 0 {0} {1}\" font-family=\"sans-serif\" font-size=\"11\">\n"
            "<rect width=\"{0}\" height=\"{1}\" fill=\"white\"/>\n",
            kLeft + kColumns + kRight, height);
        axis(height - 40);
        int y = kTop;
        for (const auto& [id, endpoints] : cast_) {
            paint(id, destinations_.at(id), y);
            y += kRow;
            for (const EndpointId endpoint : endpoints) {
                paint(endpoint, endpoints_.at(endpoint), y);
                y += kRow;
            }
        }
        if (ends_)
            out_ += fmt::format(
                "<line x1=\"{0}\" x2=\"{0}\" y1=\"{1}\" y2=\"{2}\" stroke=\"#c00000\" "
                "stroke-width=\"2\"/><text x=\"{0}\" y=\"{1}\" text-anchor=\"end\" "
                "fill=\"#c00000\">decided otherwise from here on</text>\n",
                kLeft + *ends_, kTop - 4, y);
        legend(y + 18);
        return out_ + "</svg>\n";
    }

private:
    int column(Time at) const {
        const double share = static_cast<double>((at - begin_).count()) / static_cast<double>(span_.count());
        return std::clamp(static_cast<int>(share * (kColumns - 1)), 0, kColumns - 1);
    }

    void play() {
        Replay replay(segment_);
        int sampled = 0;
        while (replay.more()) {
            const Batch& batch = segment_.batches[replay.place()];
            const int at = column(batch.decided);
            for (const auto& [when, event] : batch.events)
                if (const auto* outcome = std::get_if<OutcomeEvent>(&event)) count(*outcome, column(when));
            for (const Action& action : batch.actions) count(action, at, replay.state());
            if (replay.step()) {
                ends_ = at;
                return;
            }
            sample(replay.state(), batch.decided, sampled, at);
            sampled = at;
        }
    }
    void count(const OutcomeEvent& event, int at) {
        const auto row = endpoints_.find(event.endpoint);
        if (row == endpoints_.end()) return;
        Calls& calls = row->second.calls[static_cast<std::size_t>(at)];
        ++(event.outcome == Outcome::Served        ? calls.served
            : event.outcome == Outcome::TurnedAway ? calls.turned_away
                                                   : calls.failed);
    }
    void count(const Action& action, int at, State& before) {
        const auto mark = [&](MessageId id, std::vector<std::uint32_t> DestinationRow::*which) {
            const auto message = before.messages_.find(id);
            if (message == before.messages_.end()) return;
            const auto row = destinations_.find(message->second.destination);
            if (row != destinations_.end()) ++(row->second.*which)[static_cast<std::size_t>(at)];
        };
        if (const auto* refuse = std::get_if<Refuse>(&action))
            mark(refuse->message, &DestinationRow::refused);
        if (const auto* fail = std::get_if<Fail>(&action)) mark(fail->message, &DestinationRow::given_up);
    }
    /// What the module knows now holds from the column of the sample before on.
    void sample(State& state, Time now, int from, int to) {
        for (auto& [id, row] : destinations_) {
            const auto found = state.destinations_.find(id);
            const std::size_t held = found == state.destinations_.end() ? 0 : found->second.held.size();
            for (int x = from + (from < to ? 1 : 0); x <= to; ++x) {
                auto& most = row.held[static_cast<std::size_t>(x)];
                most = std::max(most, held);
            }
        }
        for (auto& [id, row] : endpoints_) {
            const Band band = band_of(state, id);
            const auto found = state.endpoints_.find(id);
            const bool wait =
                found != state.endpoints_.end() && state.route_of(found->second).wait_until > now;
            for (int x = from + (from < to ? 1 : 0); x <= to; ++x) {
                row.bands[static_cast<std::size_t>(x)] = band;
                row.waits[static_cast<std::size_t>(x)] = wait;
            }
        }
    }

    void axis(int bottom) {
        for (int i = 0; i <= 10; ++i) {
            const Time at = begin_ + span_ * i / 10;
            const std::int64_t wall = wall_of(*segment_.head, at);
            const std::time_t seconds = wall / 1000;
            std::tm utc{};
            gmtime_r(&seconds, &utc);
            const int x = kLeft + i * kColumns / 10;
            out_ += fmt::format(
                "<line x1=\"{0}\" x2=\"{0}\" y1=\"{1}\" y2=\"{2}\" stroke=\"#dddddd\"/><text x=\"{0}\" "
                "y=\"{3}\" text-anchor=\"middle\">{4:02}:{5:02}:{6:02}.{7:03}</text>\n",
                x, kTop - 14, bottom, kTop - 20, utc.tm_hour, utc.tm_min, utc.tm_sec, wall % 1000);
        }
    }
    void label(const std::string& text, int y, const char* weight) {
        out_ += fmt::format("<text x=\"{}\" y=\"{}\" text-anchor=\"end\" font-weight=\"{}\">{}</text>\n",
            kLeft - 6, y + 17, weight, escaped(text.size() > 36 ? text.substr(0, 33) + "..." : text));
    }
    /// Neighbouring columns that are alike are one rectangle.
    template <class Value, class Colour>
    void bands(const std::vector<Value>& values, int y, int height, Colour colour) {
        for (std::size_t from = 0, to; from < values.size(); from = to) {
            for (to = from + 1; to < values.size() && values[to] == values[from];) ++to;
            const char* fill = colour(values[from]);
            if (fill == nullptr) continue;
            rectangle(static_cast<int>(from), y, static_cast<int>(to - from), height, fill);
        }
    }
    void rectangle(int column, int y, int width, int height, const char* fill) {
        out_ += fmt::format("<rect x=\"{}\" y=\"{}\" width=\"{}\" height=\"{}\" fill=\"{}\"/>\n",
            kLeft + column, y, width, height, fill);
    }
    void paint(DestinationId id, const DestinationRow& row, int y) {
        const std::size_t most =
            std::max<std::size_t>(1, *std::max_element(row.held.begin(), row.held.end()));
        label("destination " + std::to_string(id) + ", held up to " + std::to_string(most), y, "bold");
        const int base = y + kRow - 3;
        std::string points = fmt::format("{},{} ", kLeft, base);
        for (int x = 0; x < kColumns; ++x)
            if (x == 0 || x + 1 == kColumns ||
                row.held[static_cast<std::size_t>(x)] != row.held[static_cast<std::size_t>(x - 1)] ||
                row.held[static_cast<std::size_t>(x)] != row.held[static_cast<std::size_t>(x + 1)])
                points += fmt::format("{},{:.1f} ", kLeft + x,
                    base - (kRow - 6.0) * static_cast<double>(row.held[static_cast<std::size_t>(x)]) /
                               static_cast<double>(most));
        points += fmt::format("{},{}", kLeft + kColumns - 1, base);
        out_ += "<polygon points=\"" + points + "\" fill=\"#9db7d9\"/>\n";
        for (int x = 0; x < kColumns; ++x) {
            if (row.refused[static_cast<std::size_t>(x)] > 0) rectangle(x, y + 2, 2, 6, "#e08a00");
            if (row.given_up[static_cast<std::size_t>(x)] > 0) rectangle(x, y + 2, 2, kRow - 4, "#c00000");
        }
    }
    void paint(EndpointId id, const EndpointRow& row, int y) {
        label(name_of_(id), y, "normal");
        bands(row.bands, y + 2, kRow - 4,
            [](Band band) { return kBandColour[static_cast<std::size_t>(band)]; });
        bands(row.waits, y + kRow - 5, 3, [](bool waits) { return waits ? "#3060c0" : nullptr; });
        std::uint32_t most = 1;
        for (const Calls& calls : row.calls)
            most = std::max(most, calls.served + calls.turned_away + calls.failed);
        for (int x = 0; x < kColumns; ++x) {
            const Calls& calls = row.calls[static_cast<std::size_t>(x)];
            int base = y + kRow - 5;
            const auto part = [&](std::uint32_t count, const char* fill) {
                if (count == 0) return;
                const int height = std::max(2, static_cast<int>(16 * count / most));
                base -= height;
                rectangle(x, base, 1, height, fill);
            };
            part(calls.served, "#2c8a2c"), part(calls.turned_away, "#e08a00"), part(calls.failed, "#c00000");
        }
    }
    void legend(int y) {
        int x = kLeft;
        for (const auto& [fill, text] : std::initializer_list<std::pair<const char*, const char*>>{
                 {"#dff2df", "well"}, {"#f7d4d0", "sick"}, {"#fdf0c4", "returning"}, {"#d5d5e8", "draining"},
                 {"#3060c0", "told wait"}, {"#2c8a2c", "served"}, {"#e08a00", "turned away"},
                 {"#c00000", "failed, given up"}, {"#9db7d9", "held"}}) {
            rectangle(x - kLeft, y - 9, 10, 10, fill);
            out_ += fmt::format("<text x=\"{}\" y=\"{}\">{}</text>\n", x + 14, y, text);
            x += 115;
        }
    }

    const Segment& segment_;
    std::map<DestinationId, std::set<EndpointId>> cast_;
    NameOf name_of_;
    Time begin_{0}, span_{1};
    std::map<DestinationId, DestinationRow> destinations_;
    std::map<EndpointId, EndpointRow> endpoints_;
    std::optional<int> ends_;
    std::string out_;
};

}  // namespace

std::string timeline_of(const Segment& segment, const TimelineWish& wish) {
    if (!segment.head) throw BadCapture("a segment without a head");
    return Painter(segment, wish).svg();
}

}  // namespace lockgw::capture
