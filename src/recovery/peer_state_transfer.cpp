#include "recovery/peer_state_transfer.hpp"

#include <algorithm>

namespace lockgw::recovery {
namespace {

constexpr char kVersion = 1;
constexpr char kYoung = 1;
constexpr Time kUnit{100'000};  // of ages
constexpr std::uint16_t kNever = 0xffff;
constexpr std::size_t kNameBytes = 6;

void put(std::string& to, std::uint64_t value, std::size_t bytes) {
    for (std::size_t i = 0; i < bytes; ++i) to.push_back(static_cast<char>(value >> (8 * i)));
}
std::uint64_t take(std::string_view& from, std::size_t bytes) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i)
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(from[i])) << (8 * i);
    from.remove_prefix(bytes);
    return value;
}
/// Rounded up: going round makes nothing younger.
std::uint16_t units(Time age) {
    return static_cast<std::uint16_t>(std::clamp<Time::rep>((age + kUnit - Time(1)) / kUnit, 0, kNever - 1));
}

/// What most say; of those that count.
template <class Name, class Of>
std::map<Name, std::vector<Time>> most_say(std::size_t voices, Of each) {
    std::map<Name, std::vector<Time>> said;
    each([&said](Name name, Time since) { said[name].push_back(since); });
    const std::size_t wanted = voices <= 1 ? voices : std::max<std::size_t>(2, voices / 2 + 1);
    std::erase_if(
        said, [wanted](const auto& one) { return one.second.size() < std::max<std::size_t>(1, wanted); });
    return said;
}

}  // namespace

std::string bytes_of(const Question& question) {
    std::string bytes{kVersion};
    put(bytes, question.incarnation, 4);
    return bytes;
}
std::optional<Question> question_of(std::string_view bytes) {
    if (bytes.size() != 5 || bytes.front() != kVersion) return std::nullopt;
    bytes.remove_prefix(1);
    return Question{static_cast<std::uint32_t>(take(bytes, 4))};
}

std::vector<std::string> sections_of(const Answer& answer, std::size_t room) {
    std::vector<std::string> all;
    std::size_t at = 0;
    const std::size_t most = std::min(answer.facts.size(), kMostHeard);
    do {
        std::string bytes{kVersion, answer.young ? kYoung : '\0'};
        put(bytes, answer.heard ? units(*answer.heard) : kNever, 2);
        const std::size_t fits = room < kAnswerHead + kFactBytes ? 0 : (room - kAnswerHead) / kFactBytes;
        const std::size_t count = std::min({fits, most - at, std::size_t{255}});
        put(bytes, count, 1);
        for (std::size_t i = 0; i < count; ++i, ++at) {
            const Said& one = answer.facts[at];
            put(bytes, static_cast<std::uint8_t>(one.what), 1);
            put(bytes, one.name, kNameBytes);
            put(bytes, units(one.age), 2);
        }
        all.push_back(std::move(bytes));
        if (count == 0) break;
    } while (at < most);
    return all;
}

std::optional<Answer> answer_of(std::string_view bytes) {
    if (bytes.size() < kAnswerHead || bytes.front() != kVersion) return std::nullopt;
    Answer answer;
    bytes.remove_prefix(1);
    answer.young = (take(bytes, 1) & kYoung) != 0;
    if (const auto heard = take(bytes, 2); heard != kNever)
        answer.heard = kUnit * static_cast<Time::rep>(heard);
    const std::size_t count = take(bytes, 1);
    if (bytes.size() != count * kFactBytes) return std::nullopt;
    for (std::size_t i = 0; i < count; ++i) {
        Said one;
        const auto what = take(bytes, 1);
        one.name = take(bytes, kNameBytes);
        one.age = kUnit * static_cast<Time::rep>(take(bytes, 2));
        if (what < 1 || what > 3) continue;  // a newer build's
        one.what = static_cast<Said::What>(what);
        answer.facts.push_back(one);
    }
    return answer;
}

std::size_t back_of(std::size_t questions, std::size_t others, std::size_t asked, std::size_t seen) {
    const std::size_t by_questions =
        asked == 0 ? questions : questions * others / std::min(asked, std::max<std::size_t>(1, others));
    return std::min(others, std::max(by_questions, seen));
}

void PeerStateTransfer::heard(std::size_t from, const Answer& answer, Time now) {
    if (!asked_.contains(from)) return;
    const auto [found, fresh] = by_.try_emplace(from);
    One& one = found->second;
    if (fresh) one.young = answer.young, old_ += !answer.young;
    if (answer.heard) one.heard = now - *answer.heard;
    for (const Said& said : answer.facts) {
        if (one.out.size() + one.down.size() >= kMostHeard) return;
        if (said.what == Said::What::Back)
            one.back = std::max<std::size_t>(one.back.value_or(0), static_cast<std::size_t>(said.name));
        else if (said.what == Said::What::Out)
            one.out.insert(said.name);
        else if (said.age <= kHolds)
            one.down.emplace(said.name, now - said.age);
    }
}

PeerStateTransfer::Taken PeerStateTransfer::taken(Time now) const {
    Taken taken;
    // who has only just started knows nothing by itself: it has no voice while there are others
    const bool all = old_ == 0;
    const std::size_t voices = all ? by_.size() : old_;
    const auto each = [&](auto use) {
        for (const auto& [from, one] : by_)
            if (all || !one.young) use(one);
    };
    for (const auto& [name, since] : most_say<std::uint64_t>(voices, [&](auto say) {
             each([&](const One& one) {
                 for (const std::uint64_t name : one.out) say(name, Time(0));
             });
         }))
        taken.out.insert(name);
    for (auto& [name, since] : most_say<std::uint64_t>(voices, [&](auto say) {
             each([&](const One& one) {
                 for (const auto& [name, at] : one.down) say(name, at);
             });
         })) {
        auto sorted = since;
        std::sort(sorted.begin(), sorted.end());
        taken.down.emplace(name, now - sorted[sorted.size() / 2]);
    }
    // those that came back themselves count as well as any
    std::vector<std::size_t> back;
    for (const auto& [from, one] : by_)
        if (one.back) back.push_back(*one.back);
    std::sort(back.begin(), back.end());
    if (!back.empty()) taken.back = back[back.size() / 2];
    std::vector<Time> heard;  // the second latest: one alone may lie
    each([&](const One& one) {
        if (one.heard) heard.push_back(*one.heard);
    });
    std::sort(heard.rbegin(), heard.rend());
    if (heard.size() >= 2)
        taken.heard = now - heard[1];
    else if (heard.size() == 1 && voices == 1)
        taken.heard = now - heard[0];
    return taken;
}

}  // namespace lockgw::recovery
