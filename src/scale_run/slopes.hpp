// A straight line through figures by least squares. Pure.
#pragma once

#include <utility>
#include <vector>

namespace burlwind::scale_run {

struct Line {
  double base = 0, slope = 0;
  double at(double x) const { return base + slope * x; }
};

// Through (x, y); with one point, or the same x throughout, a level line through the mean.
inline Line fitLine(const std::vector<std::pair<double, double>>& points) {
  if (points.empty()) return {};
  const auto n = static_cast<double>(points.size());
  double meanX = 0;
  double meanY = 0;
  for (const auto& [x, y] : points) meanX += x / n, meanY += y / n;
  double spread = 0;
  double together = 0;
  for (const auto& [x, y] : points) {
    spread += (x - meanX) * (x - meanX);
    together += (x - meanX) * (y - meanY);
  }
  const double slope = spread > 0 ? together / spread : 0;
  return {meanY - slope * meanX, slope};
}

}  // namespace burlwind::scale_run
