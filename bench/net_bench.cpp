// What the way of a message costs beside its decision: journal records and answers of targets.
#include <benchmark/benchmark.h>

#include <filesystem>

#include "deliveries/http/answer.hpp"
#include "rig/node.hpp"
#include "store/journal.hpp"

using namespace lockgw;

namespace {

/// Taken on, an attempt, delivered: `range(0)` messages a turn, each record by itself (0) or by turns (1), on
/// a folder in memory.
void ThreeRecords(benchmark::State& state) {
    const rig::TemporaryFolder folder;
    Journal journal(folder.path(), std::size_t{256} << 20);
    const auto a_turn = static_cast<MessageId>(state.range(0));
    const Moment now{{}, std::chrono::seconds(1'700'000'000), 0};
    Message message{0, "safe", "acme", "5c0f6e1a2b3d4c59", 7, now, std::string(200, 'b')};
    MessageId last = 0;
    const auto turn = [&](auto step) {
        if (state.range(1) != 0) journal.begin_turn();
        for (MessageId i = 1; i <= a_turn; ++i) step(last + i);
        benchmark::DoNotOptimize(journal.keep_turn());
    };
    for (auto _ : state) {
        turn([&](MessageId id) {
            message.id = id;
            journal.take_on(message);
            journal.begin_attempt(id, "s-1", now);
        });
        turn([&](MessageId id) { journal.delivered(id); });
        last += a_turn;
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(last));
}
BENCHMARK(ThreeRecords)->ArgsProduct({{1, 8, 32}, {0, 1}});

/// A compaction: so many entries owed, written anew at a start.
void Recovers(benchmark::State& state) {
    const rig::TemporaryFolder folder;
    const Moment now{{}, std::chrono::seconds(1'700'000'000), 0};
    {
        Journal journal(folder.path(), std::size_t{1} << 30);
        for (MessageId id = 1; id <= static_cast<MessageId>(state.range(0)); ++id)
            journal.take_on({id, "safe", "acme", "5c0f6e1a2b3d4c59", 7, now, std::string(200, 'b')});
    }
    for (auto _ : state) {
        Journal journal(folder.path(), std::size_t{1} << 30);
        benchmark::DoNotOptimize(journal.in_order().size());
    }
}
BENCHMARK(Recovers)->Arg(1'000)->Arg(100'000)->Unit(benchmark::kMillisecond);

void ReadsAnAnswer(benchmark::State& state) {
    const std::string bytes =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Load-Report: x0=0.4,x1=25\r\nConnection: "
        "keep-alive\r\n\r\n";
    for (auto _ : state) {
        Answer answer;
        benchmark::DoNotOptimize(answer.feed(bytes));
        benchmark::DoNotOptimize(answer.outcome(true, cometspoke::Time(1'000'000)));
    }
}
BENCHMARK(ReadsAnAnswer);

}  // namespace
