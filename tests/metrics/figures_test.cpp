#include "metrics/figures.hpp"

#include <gtest/gtest.h>

namespace burlwind::metrics {
namespace {

TEST(Figures, EveryClassStandsThereFromTheStart) {
  const Figures figures({"look", "order"});
  EXPECT_EQ(
      figures.text({3, 1}),
      "balancer.success.look=0\nbalancer.success.order=0\nbalancer.busy.look=0\nbalancer.busy.order=0\n"
      "balancer.failure.look=0\nbalancer.failure.order=0\nbalancer.backend_calls=0\nbalancer.inflight=0\n"
      "balancer.hosts_listed=3\nbalancer.hosts_down=1\n");
}

TEST(Figures, CountsByClassAndFate) {
  Figures figures({"look", "order"});
  for (const unsigned status : {200u, 429u, 503u, 502u, 400u}) figures.ended(1, fateOf(status));
  figures.attemptWritten();
  figures.taken(), figures.taken(), figures.done();
  EXPECT_EQ(figures.count(1, Fate::success), 1u);
  EXPECT_EQ(figures.count(1, Fate::busy), 2u);
  EXPECT_EQ(figures.count(1, Fate::failure), 2u);
  EXPECT_EQ(figures.count(0, Fate::failure), 0u);
  EXPECT_NE(figures.text({}).find("balancer.backend_calls=1\nbalancer.inflight=1\n"), std::string::npos);
}

}  // namespace
}  // namespace burlwind::metrics
