#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace crocusslip::replay {

struct ChartPoint
{
  double x_ = 0;
  double y_ = 0;
  std::string label_;
};

struct ChartSeries
{
  std::string name_;
  std::vector<ChartPoint> points_;
  /// Points are joined by a line.
  bool line_ = true;
};

struct Chart
{
  std::string title_;
  std::string xTitle_;
  std::string yTitle_;
  std::vector<ChartSeries> series_;
};

/// Draws the charts below each other as one SVG.
void
WriteSvg(const std::vector<Chart>& aCharts, std::ostream& aOutput);

} // namespace crocusslip::replay
