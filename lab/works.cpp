#include "lab/works.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>

#include "lab/schedule.hpp"

namespace lockgw::lab {

using work::Change;
using work::Crew;
using work::Machine;
using work::Number;
using work::Time;
using What = WorkFault::What;

namespace {

constexpr double kRound_s = 0.2, kLook_s = 0.05;
constexpr double kMissed_s = 1.6;  // until somebody silent is missed
constexpr double kKnown_s = 4;     // a loss so old is known to all that hear of anybody
constexpr double kPerson_s = 10;   // until a person mends what is broken
constexpr std::size_t kFrame = 7;  // bytes round a section

struct One {
    std::unique_ptr<Crew> crew;
    std::string disk;
    bool runs = true, stopped = false, full = false;
    bool at_work = false;  // its process has ended for its work, and comes back
    double rate = 1, offset = 0;
    std::uint64_t life = 0;
    std::uint32_t process = 1;
    double phase_since = 0, dead_since = -1, silent_since = -1, woken = -10;
    Crew::Phase phase = Crew::Phase::Serving;
    std::set<Machine> over, broken;
    std::vector<std::function<void()>> waiting;
    bool away = false;
    std::uint32_t fence = 0;  // when it was last seen away
};

class World {
public:
    explicit World(const WorksSettings& settings)
        : is_(settings), random_(settings.seed), all_(settings.members) {
        if (is_.plan.machines.empty())
            for (std::size_t i = 0; i < all_.size(); ++i)
                is_.plan.machines.push_back({static_cast<Machine>(i), "", 0, {}, {}});
        if (is_.plan.name.empty()) is_.plan.name = "plan";
        bytes_ = work::bytes_of(is_.plan);
        const double turn = is_.drain_s + is_.work_s + is_.warm_s;
        count_.best_s = std::ceil(static_cast<double>(is_.plan.machines.size()) / is_.plan.most_out) * turn;
        for (std::size_t i = 0; i < all_.size(); ++i) {
            all_[i].rate = 1 + drawn(-is_.drift, is_.drift), all_[i].offset = drawn(0, 1e6);
            begin(i);
        }
        for (const WorkFault& fault : is_.faults) {
            at(fault.at_s, [this, fault] { set(fault, true); });
            if (fault.for_s > 0) at(fault.at_s + fault.for_s, [this, fault] { set(fault, false); });
        }
        if (is_.guarded)
            at(kStart_s, [this] { order(); });
        else
            script();
        look();
    }
    WorksCount run() {
        for (double end = 1; end <= is_.seconds && count_.took_s < 0; ++end) schedule_.run(end);
        return count_;
    }

private:
    static constexpr double kStart_s = 3;

    void at(double when, std::function<void()> step) { schedule_.at(when, std::move(step)); }
    double drawn(double least, double most) {
        return std::uniform_real_distribution<double>(least, most)(random_);
    }
    bool chance(double share) { return share > 0 && drawn(0, 1) < share; }
    Time clock(std::size_t i) const {
        const One& one = all_[i];
        return Time(1'000'000'000) +
               Time(static_cast<Time::rep>((one.offset + schedule_.now() * one.rate) * 1e6));
    }
    bool acts(std::size_t i) const { return all_[i].runs && !all_[i].stopped; }

    void begin(std::size_t i) {
        One& one = all_[i];
        ++one.life;
        one.waiting.clear(), one.over.clear(), one.broken.clear();
        work::CrewSettings settings;
        settings.own = static_cast<Number>(i), settings.members = all_.size();
        settings.process = one.process += 1000,  // rounds of its earlier processes lie below, as with seconds
                                                 // settings.seed = is_.seed * 1000 + i + one.life * 7919;
            one.crew = std::make_unique<Crew>(settings, one.disk, clock(i));
        one.phase = Crew::Phase::Serving, one.phase_since = schedule_.now();
        follow(i);  // what it was at goes on, or begins anew
        next_round(i, one.life, schedule_.now() + drawn(0, kRound_s));
    }
    void next_round(std::size_t i, std::uint64_t life, double when) {
        at(when, [this, i, life] {
            One& one = all_[i];
            if (one.life != life || !one.runs) return;
            const auto go = [this, i, life] {
                act(i);
                next_round(i, life, schedule_.now() + kRound_s * drawn(0.8, 1.2));
            };
            one.stopped ? one.waiting.push_back(go) : go();
        });
    }

    bool apart(std::size_t a, std::size_t b) const { return cut_.contains(a) != cut_.contains(b); }
    work::Sight sight(std::size_t i) {
        One& one = all_[i];
        work::Sight sight;
        std::size_t heard = 0;
        const double now = schedule_.now();
        for (std::size_t j = 0; j < all_.size(); ++j) {
            if (j == i) continue;
            double since = all_[j].dead_since >= 0 ? all_[j].dead_since : all_[j].silent_since;
            if (apart(i, j)) since = since < 0 ? cut_at_ : std::min(since, cut_at_);
            const bool gone = since >= 0 && now - since > kMissed_s && now - one.woken > kMissed_s;
            if (gone) sight.gone.push_back(static_cast<Number>(j));
            if (gone && now - since > 30) sight.long_gone.push_back(static_cast<Number>(j));
            heard += since < 0 || now - since <= kMissed_s;
        }
        sight.sure = 2 * heard > all_.size() - 1 && now - one.woken > kMissed_s;
        const double in_phase = now - one.phase_since;
        sight.drained = one.phase == Crew::Phase::Leaving && in_phase >= is_.drain_s;
        sight.warm = one.phase != Crew::Phase::Returning || in_phase >= is_.warm_s;
        sight.over = one.over, sight.broken = one.broken;
        sight.left = [](Machine) { return 100u; };
        sight.let_go = [](Machine) { return true; };
        return sight;
    }
    void act(std::size_t i) {
        One& one = all_[i];
        one.crew->tick(sight(i), clock(i));
        follow(i);
        send_all(i);
    }
    /// What the crew's phase asks of the machine.
    void follow(std::size_t i) {
        One& one = all_[i];
        const auto phase = one.crew->phase();
        if (phase == one.phase) return;
        one.phase = phase, one.phase_since = schedule_.now();
        if (phase != Crew::Phase::Working) return one.over.clear(), one.broken.clear();
        const std::uint64_t life = one.life;
        if (is_.plan.task == work::Task::Restart) {
            if (one.crew->restarted()) return;            // that was its work
            at(schedule_.now() + 0.01, [this, i, life] {  // its word is on disk by then
                One& one = all_[i];
                if (one.life != life || !one.runs) return;
                one.runs = false, one.at_work = true, one.silent_since = schedule_.now();
                at(schedule_.now() + is_.work_s, [this, i] {
                    One& one = all_[i];
                    if (!one.at_work) return;
                    one.at_work = false, one.runs = true, one.silent_since = -1;
                    begin(i);
                });
            });
            return;
        }
        const bool breaks = chance(is_.breaks);
        at(schedule_.now() + is_.work_s, [this, i, breaks] { finish(i, breaks); });
    }
    void finish(std::size_t i, bool breaks) {
        One& one = all_[i];
        if (!one.runs || one.phase != Crew::Phase::Working) return;
        (breaks ? one.broken : one.over).insert(static_cast<Machine>(i));
        if (!breaks) return;
        at(schedule_.now() + kPerson_s, [this, i] { all_[i].over.insert(static_cast<Machine>(i)); });
    }
    void send_all(std::size_t i) {
        One& one = all_[i];
        if (one.crew->changed()) {
            if (one.full) return one.crew->keep_quiet();
            one.disk = one.crew->stored();
        }
        for (auto& note : one.crew->out()) send(i, note.to, std::move(note.message));
    }
    void send(std::size_t from, std::size_t to, work::Message message) {
        const std::string bytes = work::bytes_of(message);
        if (from != to) {
            ++count_.notes, count_.bytes += bytes.size() + kFrame;
            if (apart(from, to) || (mute_.contains(from) && !mute_.contains(to))) return;
        }
        for (int copies = 1 + (from != to && chance(is_.doubled)); copies > 0; --copies) {
            if (from != to && chance(is_.lost)) continue;
            const std::uint64_t life = all_[to].life;
            const double late = from == to ? 0.00001 : drawn(is_.least_s, is_.most_s);
            at(schedule_.now() + late, [this, from, to, life, bytes] {
                One& one = all_[to];
                if (!one.runs || one.life != life) return;
                const auto hear = [this, from, to, bytes] {
                    const auto read = work::message_of(bytes);
                    if (!read) return;
                    all_[to].crew->heard(static_cast<Number>(from), *read, clock(to));
                    act(to);
                };
                one.stopped ? one.waiting.push_back(hear) : hear();
            });
        }
    }

    // ---- persons ----
    void order() {
        Change change;
        change.what = Change::What::Plan, change.plan = work::digest_of(bytes_);
        change.places = is_.plan.machines.size();
        person([this, change](Crew& crew) { crew.want(change, bytes_); });
        watch_order();
    }
    /// Until it is proposed, then approved.
    void watch_order() {
        at(schedule_.now() + 1, [this] {
            const work::State* best = newest();
            if (best != nullptr && best->plan != 0) {
                if (best->mode != work::Mode::Proposed) return;
                if (approved_ < 0 || schedule_.now() > approved_ + 12) {
                    approved_ = schedule_.now();
                    tell(Change::What::Approve);
                }
            } else if (++asked_ % 12 == 0) {
                return order();
            }
            watch_order();
        });
    }
    void tell(Change::What what) {
        Change change;
        change.what = what;
        person([change](Crew& crew) { crew.want(change); });
    }
    template <class Do>
    void person(Do what) {
        for (int i = 0; i < 100; ++i) {
            const std::size_t at = random_() % all_.size();
            if (!acts(at)) continue;
            what(*all_[at].crew);
            return act(at);
        }
    }
    const work::State* newest() const {
        const work::State* best = nullptr;
        for (const One& one : all_)
            if (one.crew && (best == nullptr || one.crew->state().version > best->version))
                best = &one.crew->state();
        return best;
    }

    /// Without anybody's word: so many at a time, by the clock.
    void script() {
        const double turn = is_.drain_s + is_.work_s + is_.warm_s;
        for (std::size_t k = 0; k < is_.plan.machines.size(); ++k) {
            const std::size_t i = is_.plan.machines[k].machine;
            const double begin = kStart_s + std::floor(static_cast<double>(k) / is_.plan.most_out) * turn;
            at(begin, [this, i] { scripted_.insert(i); });
            const double more = chance(is_.breaks) ? 2 * kPerson_s : 0;
            at(begin + is_.drain_s + is_.work_s + more, [this, i] { scripted_.erase(i), ++scripted_done_; });
        }
    }

    // ---- faults, and what is counted ----
    void set(const WorkFault& fault, bool on) {
        if (fault.what == What::Cut) cut_at_ = on ? schedule_.now() : -1;
        for (std::size_t i = fault.first; i <= fault.last && i < all_.size(); ++i) {
            One& one = all_[i];
            switch (fault.what) {
                case What::Kill:
                case What::Forget:
                    if (!on && fault.what == What::Forget) one.disk.clear();
                    one.runs = !on, one.at_work = false;
                    one.dead_since = on ? schedule_.now() : -1, one.silent_since = -1;
                    if (!on) begin(i);
                    break;
                case What::Stop:
                    one.stopped = on && !one.at_work;  // what has ended for its work cannot be stopped
                    if (!one.at_work) one.silent_since = one.stopped ? schedule_.now() : -1;
                    if (on || one.at_work) break;
                    one.woken = schedule_.now();
                    for (const auto& step : std::exchange(one.waiting, {})) step();
                    break;
                case What::Cut:
                    on ? void(cut_.insert(i)) : void(cut_.erase(i));
                    break;
                case What::Mute:
                    on ? void(mute_.insert(i)) : void(mute_.erase(i));
                    break;
                case What::Full:
                    one.full = on;
                    break;
            }
        }
    }
    void broke(const std::string& what) {
        if (count_.broken.empty()) count_.broken = what + " at " + std::to_string(schedule_.now()) + " s";
    }
    void look() {
        const double now = schedule_.now();
        std::size_t away = 0, missing = 0, old_losses = 0;
        bool went = false;
        for (std::size_t i = 0; i < all_.size(); ++i) {
            One& one = all_[i];
            const bool is =
                is_.guarded ? one.at_work || (one.runs && one.crew->away()) : scripted_.contains(i);
            away += is;
            // who was killed while it was out comes back out, by the same grant
            const std::uint32_t fence = is_.guarded ? one.crew->fence() : 0;
            went = went || (is && !one.away && (fence == 0 || fence != one.fence));
            if (is) one.fence = fence;
            one.away = is;
            const bool dead = !is && (one.dead_since >= 0 || one.silent_since >= 0);
            missing += is || dead;
            old_losses += dead && now - std::max(one.dead_since, one.silent_since) > kKnown_s;
        }
        count_.most_out = std::max(count_.most_out, away);
        if (away > is_.plan.most_out) broke(std::to_string(away) + " are away");
        above_ = went ? away + old_losses > is_.plan.most_out : above_ && missing > is_.plan.most_out;
        count_.above_s_ticks += above_;
        if (went && above_) broke("one goes beside " + std::to_string(old_losses) + " that are lost");
        while (count_.out_by_second.size() < static_cast<std::size_t>(now) + 1)
            count_.out_by_second.push_back(missing);
        if (is_.guarded) check_chain(), mind();
        const bool over = is_.guarded ? done_ : scripted_done_ == is_.plan.machines.size();
        if (over && count_.took_s < 0) {
            count_.took_s = now - kStart_s;
            for (const One& one : all_)
                if (one.crew)
                    count_.proposals += one.crew->counts().proposals,
                        count_.refused += one.crew->counts().refused;
            count_.done = is_.plan.machines.size();
        }
        if (!over) at(now + kLook_s, [this] { look(); });
    }
    /// The plan was held for one that took too long, or is broken: a person lets it go on.
    void mind() {
        const work::State* best = newest();
        const bool held = best != nullptr && best->mode == work::Mode::Held;
        if (!held) held_since_ = -1;
        if (held && held_since_ < 0) held_since_ = schedule_.now();
        if (!held || schedule_.now() - held_since_ < kPerson_s) return;
        held_since_ = schedule_.now();
        tell(Change::What::Approve);
    }
    /// All that any two know of one version is the same; a number is one machine's.
    void check_chain() {
        for (const One& one : all_) {
            if (!one.crew) continue;
            const work::State& state = one.crew->state();
            const auto [known, fresh] = chain_.try_emplace(state.version, work::bytes_of(state));
            if (!fresh && known->second != work::bytes_of(state))
                ++count_.two_plans, broke("two values of one version");
            for (const work::Out& out : state.outs) {
                const auto [given, first] = fences_.try_emplace(out.fence, out.machine);
                if (!first && given->second != out.machine)
                    ++count_.doubled_fences, broke("one number for two");
            }
            done_ = done_ || state.mode == work::Mode::Finished;
            count_.done = std::max(count_.done, state.done_count());
        }
    }

    WorksSettings is_;
    std::mt19937_64 random_;
    std::vector<One> all_;
    Schedule<double> schedule_;
    std::string bytes_;
    std::set<std::size_t> cut_, mute_, scripted_;
    std::size_t scripted_done_ = 0;
    double cut_at_ = -1, approved_ = -1, held_since_ = -1;
    int asked_ = 0;
    bool above_ = false, done_ = false;
    std::map<std::uint32_t, std::string> chain_;
    std::map<std::uint32_t, Machine> fences_;
    WorksCount count_;
};

}  // namespace

WorksCount play(const WorksSettings& settings) { return World(settings).run(); }

}  // namespace lockgw::lab
