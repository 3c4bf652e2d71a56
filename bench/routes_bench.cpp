// Cost of a route's look-up: by how many destinations and routes there are. Google Benchmark.
#include <benchmark/benchmark.h>

#include "routes/table.hpp"

namespace {

using namespace lockgw;

/// Half of the destinations have a route of their own; `general` routes name none.
routes::Table table_of(int destinations, int general) {
    config::OperatorFile file;
    const routes::Known known{{"order", "status"}, {"t0", "t1"}, {"k"}, {}, {}};
    for (int i = 0; i < destinations; ++i) {
        config::DestinationRow row;
        row.name.text = "d" + std::to_string(i), row.number = i;
        row.endpoints.push_back({{"a", {}}, "s-" + std::to_string(i), {}, ""});
        file.destinations.push_back(row);
    }
    for (int i = 0; i < general; ++i) {
        config::RouteRow row;
        row.name.text = "g" + std::to_string(i);
        row.classes = {{"status", {}}}, row.tenants = {{i % 2 ? "t0" : "t1", {}}}, row.refuse = true;
        file.routes.push_back(row);
    }
    for (int i = 0; i < destinations / 2; ++i) {
        config::RouteRow row;
        row.name.text = "r" + std::to_string(i);
        row.classes = {{"order", {}}}, row.destinations = {{"d" + std::to_string(i), {}}},
        row.endpoints = {{"a", {}}};
        file.routes.push_back(row);
    }
    config::Problems problems("bench");
    return routes::Table(file, known, problems);
}

void find(benchmark::State& state) {
    const auto destinations = static_cast<int>(state.range(0));
    const routes::Table table = table_of(destinations, static_cast<int>(state.range(1)));
    std::int64_t next = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(table.find("order", "t0", next, "k"));
        next = (next + 7919) % destinations;
    }
}
BENCHMARK(find)->Args({10, 0})->Args({10, 2})->Args({10'000, 0})->Args({10'000, 2});

}  // namespace
