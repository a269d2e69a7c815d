// SPDX-License-Identifier: MIT
// Measures membership at the target size in virtual time and prints a CSV line
// per size and event. Not a test; used by docs/CAPACITY.md.
#include <cstdio>
#include <cstdlib>

#include "fake_network.h"

namespace {

using namespace valeledge::membership;
using namespace std::chrono_literals;
using test::fake_network;

double Seconds(std::chrono::microseconds value) {
  return std::chrono::duration<double>(value).count();
}

bool IsGone(const member* each) {
  return each == nullptr ||
         each->health == static_cast<int>(member_health::kDead);
}

bool IsLeaving(const member* each) {
  return each != nullptr && each->leaving;
}

struct meter {
  explicit meter(const fake_network& net)
      : bytes(net.bytes()), start(net.now()) {}

  // Bytes sent and received per second and process since the start.
  double PerProcess(const fake_network& net, std::size_t size) const {
    const std::chrono::duration<double> passed = net.now() - start;
    const auto sent = static_cast<double>(net.bytes() - bytes);
    return 2 * sent / passed.count() / static_cast<double>(size);
  }

  std::int64_t bytes;
  valeledge::base::time_point start;
};

void Print(int size, const char* what, double seconds, double bytes) {
  std::printf("%d,%s,%.2f,%.0f\n", size, what, seconds, bytes);
  std::fflush(stdout);
}

void Measure(int size) {
  fake_network net(size, {}, 1);
  const auto count = static_cast<std::size_t>(size);
  const auto known = [&] {
    for (int i = 0; i < size; ++i) {
      if (net.At(i).others.size() != count - 1)
        return false;
    }
    return true;
  };
  const meter joining(net);
  const auto joined = net.Run(120s, known);
  Print(size, "all started at once", Seconds(joined),
        joining.PerProcess(net, count));
  net.Run(240s);
  const meter rest(net);
  net.Run(30s);
  Print(size, "at rest", 30, rest.PerProcess(net, count));

  const meter leaving(net);
  net.Send(3, AnnounceLeaving(net.At(3), net.random()));
  const auto left =
      net.Run(30s, [&] { return net.AllViewsSatisfy(3, IsLeaving); });
  Print(size, "one leaves", Seconds(left), leaving.PerProcess(net, count));

  const meter dying(net);
  net.Suspend(5);
  const auto died =
      net.Run(120s, [&] { return net.AllViewsSatisfy(5, IsGone); });
  Print(size, "one dies", Seconds(died), dying.PerProcess(net, count));

  net.Run(60s);
  const meter zone(net);
  for (int i = 7; i < size; i += 4)
    net.Suspend(i);
  const auto lost = net.Run(300s, [&] {
    for (int i = 7; i < size; i += 4) {
      if (!net.AllViewsSatisfy(i, IsGone))
        return false;
    }
    return true;
  });
  Print(size, "a quarter dies", Seconds(lost), zone.PerProcess(net, count));
}

}  // namespace

int main(int argc, char** argv) {
  std::puts("processes,event,seconds_until_all_know,bytes_per_s_each");
  for (int i = 1; i < argc; ++i)
    Measure(std::atoi(argv[i]));
  return 0;
}
