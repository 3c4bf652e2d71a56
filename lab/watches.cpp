#include "lab/watches.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>

#include "lab/schedule.hpp"
#include "notes/carrier.hpp"

namespace lockgw::lab {

using tier::Number;
using tier::State;
using tier::Time;
using What = WatchFault::What;

namespace {

constexpr double kBeat_s = 0.5, kSilent_s = 2.4;                        // of beats to all
constexpr double kProbe_s = 0.4, kAnswer_s = 0.12, kSuspicion_s = 1.2;  // of probes
constexpr std::size_t kBeatBytes = 20, kProbeBytes = 24, kFactBytes = 8, kMostFacts = 8;
constexpr int kHelpers = 3, kFactTells = 20;

/// What a member knows in the baselines.
struct Plain {
    std::vector<double> heard;
    std::vector<State> state;
    std::vector<std::uint32_t> incarnation;
    std::vector<double> suspected;
    std::map<std::size_t, int> tells;
    double judged = 0;
};
struct One {
    std::unique_ptr<tier::Watch> watch;
    Plain plain;
    bool runs = true, stopped = false;
    std::uint32_t incarnation = 1;
    std::uint64_t life = 0;  // of its process
    std::vector<std::function<void()>> waiting;
    std::set<std::size_t> saw;  // dead ones that it has seen
};

class World {
public:
    explicit World(const WatchesSettings& settings)
        : is_(settings), random_(settings.seed), all_(settings.members) {
        for (std::size_t i = 0; i < all_.size(); ++i) begin(i);
        for (const WatchFault& fault : is_.faults) {
            at(fault.at_s, [this, fault] { set(fault, true); });
            if (fault.for_s > 0) at(fault.at_s + fault.for_s, [this, fault] { set(fault, false); });
            last_ = std::max(last_, fault.at_s + fault.for_s);
        }
        for (double when = 0.05; when < is_.seconds; when += 0.05) at(when, [this] { look(); });
    }
    WatchesCount run() {
        schedule_.run(std::nextafter(is_.seconds, 0.0));
        const double one = is_.seconds * static_cast<double>(all_.size());
        count_.bytes_per_s = static_cast<double>(bytes_) / one;
        count_.notes_per_s = static_cast<double>(notes_) / one;
        if (agreed_since_ >= 0) count_.agreed_s = std::max(0.0, agreed_since_ - last_);
        for (std::size_t i = 0; i < all_.size(); ++i)
            for (std::size_t j = 0; watches(i) && j < all_.size(); ++j) {
                const State state = seen(i, j);
                const bool there = state != State::Gone && state != State::Left;
                count_.right &= there == (all_[j].runs && !left_.contains(j));
            }
        return count_;
    }

private:
    Time time() const { return Time(1'000'000'000) + Time(static_cast<Time::rep>(schedule_.now() * 1e6)); }
    void at(double when, std::function<void()> step) { schedule_.at(when, std::move(step)); }
    double drawn(double least, double most) {
        return std::uniform_real_distribution<double>(least, most)(random_);
    }
    bool chance(double share) { return share > 0 && drawn(0, 1) < share; }
    bool watches(std::size_t i) const { return all_[i].runs && !all_[i].stopped; }

    void begin(std::size_t i) {
        One& one = all_[i];
        ++one.life;
        one.saw.clear(), one.waiting.clear();
        if (is_.way == WatchWay::Gossip) {
            tier::WatchSettings settings;
            settings.own = static_cast<Number>(i), settings.members = static_cast<Number>(all_.size());
            settings.incarnation = one.incarnation;
            one.watch = std::make_unique<tier::Watch>(settings, time());
        } else {
            one.plain.heard.assign(all_.size(), schedule_.now()),
                one.plain.state.assign(all_.size(), State::Alive);
            one.plain.incarnation.assign(all_.size(), 0), one.plain.suspected.assign(all_.size(), 0);
            one.plain.tells.clear(), one.plain.judged = schedule_.now();
        }
        next_round(i, one.life, schedule_.now() + drawn(0, 0.2));
    }
    void next_round(std::size_t i, std::uint64_t life, double when) {
        at(when, [this, i, life] {
            One& one = all_[i];
            if (one.life != life || !one.runs) return;
            const auto go = [this, i, life] {
                round(i);
                const double gap = is_.way == WatchWay::Gossip  ? 0.2 * drawn(0.8, 1.2)
                                   : is_.way == WatchWay::Beats ? kBeat_s
                                                                : kProbe_s;
                next_round(i, life,
                    schedule_.now() + gap + (is_.late_rounds_s > 0 ? drawn(0, is_.late_rounds_s) : 0));
            };
            one.stopped ? one.waiting.push_back(go) : go();
        });
    }
    void round(std::size_t i) {
        if (is_.way == WatchWay::Gossip) return round_of_gossip(i);
        judge(i);
        if (is_.way == WatchWay::Beats) {
            for (std::size_t j = 0; j < all_.size(); ++j)
                if (j != i) send(i, j, kBeatBytes, [this, i, j] { hear(j, i); });
        } else {
            probe(i);
        }
    }

    // ---- gossip ----
    void round_of_gossip(std::size_t i) {
        One& one = all_[i];
        const auto stalls = one.watch->counts().stalls;
        for (const auto& change : one.watch->tick(time()))
            if (change.to == State::Gone) declared(i, change.who);
        if (one.watch->counts().stalls > stalls) drop_waiting(i);
        for (const Number to : one.watch->to_tell(random_)) {
            const tier::Note note = one.watch->note(time(), notes::room_beside(notes::kHeadBytes));
            const std::size_t bytes = tier::bytes_of(note).size() + notes::kHeadBytes + notes::kSectionHead;
            send(i, to, bytes, [this, to, note] { all_[to].watch->heard(note, time()); });
        }
    }
    /// A process that wakes finds what came meanwhile in its socket; the runner throws that away.
    void drop_waiting(std::size_t i) { ++dropped_until_[i]; }

    // ---- beats, probes ----
    void hear(std::size_t i, std::size_t from) {
        Plain& plain = all_[i].plain;
        plain.heard[from] = schedule_.now();
        if (plain.state[from] != State::Alive && is_.way == WatchWay::Beats) plain.state[from] = State::Alive;
    }
    void judge(std::size_t i) {
        Plain& plain = all_[i].plain;
        for (std::size_t j = 0; j < all_.size(); ++j) {
            if (j == i || plain.state[j] == State::Gone) continue;
            const bool silent =
                is_.way == WatchWay::Beats
                    ? schedule_.now() - plain.heard[j] > kSilent_s
                    : plain.state[j] == State::Suspect && schedule_.now() - plain.suspected[j] > kSuspicion_s;
            if (!silent) continue;
            plain.state[j] = State::Gone;
            declared(i, j);
        }
        plain.judged = schedule_.now();
    }
    struct Fact {
        std::size_t who;
        std::uint32_t incarnation;
        bool suspect;
    };
    std::vector<Fact> facts(std::size_t i) {
        Plain& plain = all_[i].plain;
        std::vector<Fact> told;
        for (auto& [who, tells] : plain.tells)
            if (tells > 0 && told.size() < kMostFacts)
                --tells, told.push_back({who, plain.incarnation[who], plain.state[who] != State::Alive});
        return told;
    }
    void learn(std::size_t i, const std::vector<Fact>& told) {
        Plain& plain = all_[i].plain;
        for (const Fact& fact : told) {
            if (fact.who == i) {
                if (!fact.suspect || fact.incarnation < plain.incarnation[i]) continue;
                plain.incarnation[i] = fact.incarnation + 1;  // it refutes
                plain.tells[i] = kFactTells;
                continue;
            }
            State& state = plain.state[fact.who];
            std::uint32_t& known = plain.incarnation[fact.who];
            if (fact.incarnation > known) {
                known = fact.incarnation;
                state = fact.suspect ? State::Suspect : State::Alive;
            } else if (fact.incarnation == known && fact.suspect && state == State::Alive) {
                state = State::Suspect;
            } else {
                continue;
            }
            if (state == State::Suspect) plain.suspected[fact.who] = schedule_.now();
            plain.tells[fact.who] = kFactTells;
        }
    }
    void tell(std::size_t from, std::size_t to, std::function<void()> then) {
        const auto told = facts(from);
        send(from, to, kProbeBytes + told.size() * kFactBytes, [this, to, told, then] {
            learn(to, told);
            then();
        });
    }
    void probe(std::size_t i) {
        const std::size_t j = (i + 1 + random_() % (all_.size() - 1)) % all_.size();
        const auto answered = std::make_shared<bool>(false);
        const auto done = [answered] { *answered = true; };
        tell(i, j, [this, i, j, done] { tell(j, i, done); });
        const std::uint64_t life = all_[i].life;
        at(schedule_.now() + kAnswer_s, [this, i, j, life, answered, done] {
            if (*answered || all_[i].life != life || !watches(i)) return;
            for (int k = 0; k < kHelpers; ++k) {
                const std::size_t h = random_() % all_.size();
                if (h == i || h == j) continue;
                tell(i, h, [this, i, j, h, done] {
                    tell(h, j,
                        [this, i, j, h, done] { tell(j, h, [this, i, h, done] { tell(h, i, done); }); });
                });
            }
        });
        at(schedule_.now() + kProbe_s * 0.95, [this, i, j, life, answered] {
            Plain& plain = all_[i].plain;
            if (*answered || all_[i].life != life || !watches(i) || plain.state[j] != State::Alive) return;
            plain.state[j] = State::Suspect, plain.suspected[j] = schedule_.now(),
            plain.tells[j] = kFactTells;
        });
    }

    // ---- the links ----
    void send(std::size_t from, std::size_t to, std::size_t bytes, std::function<void()> arrives) {
        ++notes_, bytes_ += bytes;
        if (cut_.contains(from) != cut_.contains(to)) return;
        if (mute_.contains(from) && !mute_.contains(to)) return;
        for (int copies = 1 + chance(is_.doubled); copies > 0; --copies) {
            if (chance(is_.lost)) continue;
            const std::uint64_t life = all_[to].life;
            at(schedule_.now() + drawn(is_.least_s, is_.most_s), [this, to, life, arrives] {
                One& one = all_[to];
                if (!one.runs || one.life != life) return;
                if (!one.stopped) return arrives();
                const auto dropped = dropped_until_[to];
                one.waiting.push_back([this, to, dropped, arrives] {
                    if (dropped_until_[to] == dropped) arrives();
                });
            });
        }
    }

    // ---- faults, and what is counted ----
    void set(const WatchFault& fault, bool on) {
        for (std::size_t i = fault.first; i <= fault.last; ++i) {
            One& one = all_[i];
            switch (fault.what) {
                case What::Kill:
                case What::Forget:
                    one.runs = !on;
                    if (on) {
                        died_[i] = schedule_.now();
                        break;
                    }
                    died_.erase(i);
                    for (One& other : all_) other.saw.erase(i);
                    one.incarnation = fault.what == What::Forget ? 1 : one.incarnation + 1;
                    begin(i);
                    break;
                case What::Stop:
                    one.stopped = on;
                    if (!on)
                        for (const auto& step : std::exchange(one.waiting, {})) step();
                    break;
                case What::Cut:
                    on ? void(cut_.insert(i)) : void(cut_.erase(i));
                    break;
                case What::Mute:
                    on ? void(mute_.insert(i)) : void(mute_.erase(i));
                    break;
                case What::Leave:
                    on ? void(left_.insert(i)) : void(left_.erase(i));
                    if (one.watch) one.watch->leave(on);
                    break;
            }
        }
    }
    void declared(std::size_t by, std::size_t who) {
        const bool heard = cut_.contains(by) == cut_.contains(who) && !mute_.contains(who);
        if (all_[who].runs && !all_[who].stopped && heard && !healing(who) && !healing(by))
            ++count_.false_gone;
    }
    /// One that was stopped or cut a moment ago may well be taken for gone.
    bool healing(std::size_t who) const {
        for (const WatchFault& fault : is_.faults) {
            if (who < fault.first || who > fault.last || fault.what == What::Leave) continue;
            if (schedule_.now() >= fault.at_s &&
                (fault.for_s == 0 || schedule_.now() < fault.at_s + fault.for_s + 3))
                return true;
        }
        return false;
    }
    State seen(std::size_t by, std::size_t who) const {
        const One& one = all_[by];
        if (one.watch) return one.watch->state(static_cast<Number>(who));
        return by == who ? State::Alive : one.plain.state[who];
    }
    void look() {
        bool agree = true;
        std::vector<int> first;
        for (std::size_t i = 0; i < all_.size(); ++i) {
            if (!watches(i)) continue;
            for (const auto& [dead, since] : died_) {
                if (all_[i].saw.contains(dead) || seen(i, dead) != State::Gone) continue;
                all_[i].saw.insert(dead);
                const double took = schedule_.now() - since;
                count_.death_seen_s = std::max(count_.death_seen_s, took);
                count_.first_seen_s = count_.first_seen_s == 0 ? took : std::min(count_.first_seen_s, took);
            }
            std::vector<int> view;
            for (std::size_t j = 0; j < all_.size(); ++j) {
                const State state = seen(i, j);
                view.push_back(state == State::Gone ? 1 : state == State::Left ? 2 : 0);
            }
            if (first.empty()) first = view;
            agree &= first == view;
        }
        if (!agree || schedule_.now() < last_)
            agreed_since_ = -1;
        else if (agreed_since_ < 0)
            agreed_since_ = schedule_.now();
    }

    WatchesSettings is_;
    std::mt19937_64 random_;
    std::vector<One> all_;
    Schedule<double> schedule_;
    std::set<std::size_t> cut_, mute_, left_;
    std::map<std::size_t, double> died_;
    std::map<std::size_t, std::uint64_t> dropped_until_;
    WatchesCount count_;
    double last_ = 0, agreed_since_ = -1;
    std::uint64_t notes_ = 0, bytes_ = 0;
};

}  // namespace

const char* text_of(WatchWay way) {
    return way == WatchWay::Gossip ? "gossip" : way == WatchWay::Beats ? "beats to all" : "probes (SWIM)";
}

WatchesCount play(const WatchesSettings& settings) { return World(settings).run(); }

}  // namespace lockgw::lab
