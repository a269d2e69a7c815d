// SPDX-License-Identifier: MIT
// Prints the time of a routing decision among 860 backend servers with two of
// 290 models each: for one choice among all of them, and for the choice of a
// cell and of a server in it, as in production. Not a test.
#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "decisions/routing.h"

namespace {

using namespace valeledge::decisions;
using clock_type = std::chrono::steady_clock;

constexpr int kServers = 860;
constexpr int kModels = 290;
constexpr int kCell = 8;
constexpr int kRounds = 200'000;

std::vector<server_view> MakeServers(std::mt19937_64& random) {
  std::uniform_int_distribution<int> any(0, kModels - 1);
  std::vector<server_view> out(kServers);
  for (int i = 0; i < kServers; ++i) {
    out[i].name = "s" + std::to_string(i);
    out[i].slots = 8;
    out[i].in_flight = i % 8;
    out[i].ready = {any(random), any(random)};
  }
  return out;
}

template <typename decision>
void Time(const char* what, const decision& decide) {
  const auto start = clock_type::now();
  std::size_t sum = 0;
  for (int i = 0; i < kRounds; ++i)
    sum += decide(i);
  const std::chrono::duration<double, std::micro> elapsed =
      clock_type::now() - start;
  std::printf("%s: %.3f us (checksum %zu)\n", what, elapsed.count() / kRounds,
              sum);
}

}  // namespace

int main() {
  std::mt19937_64 random(1);
  const auto servers = MakeServers(random);
  std::vector<cell_view> cells(kServers / kCell);
  for (std::size_t i = 0; i < cells.size(); ++i) {
    cells[i].cell = "c" + std::to_string(i);
    cells[i].zone = i % 4 == 0 ? "a" : "b";
    cells[i].in_flight = static_cast<std::int64_t>(i % 8);
    cells[i].slots = 64;
  }
  Time("one choice among all backend servers", [&](int i) {
    const route_request request{i % kModels, i % 64 + 1, {}};
    return ChooseServer(servers, request, random).value_or(0);
  });
  Time("a cell of 107, then a backend server of 8", [&](int i) {
    const std::size_t cell = *ChooseCell(cells, "a", random);
    const std::span<const server_view> part(servers.data() + cell * kCell,
                                            kCell);
    const route_request request{i % kModels, i % 64 + 1, {}};
    return ChooseServer(part, request, random).value_or(0);
  });
  return 0;
}
