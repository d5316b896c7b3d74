#include "replay/Chart.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ostream>
#include <string_view>

namespace crocusslip::replay {

namespace {

constexpr double kWidth = 720;
constexpr double kHeight = 360;
constexpr double kLeft = 70;
constexpr double kRight = 160;
constexpr double kTop = 36;
constexpr double kBottom = 48;
constexpr int kTicks = 5;
constexpr std::array<std::string_view, 6> kColours = {
  "#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910", "#444444",
};

std::string
Format(double aValue)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3g", aValue);
  return text.data();
}

std::string
Escape(const std::string& aText)
{
  std::string escaped;
  for (const char c : aText) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

/// Draws one chart with its top at an offset.
class Drawing
{
public:
  Drawing(const Chart& aChart, double aOffset, std::ostream& aOutput)
    : chart_(aChart)
    , offset_(aOffset)
    , output_(aOutput)
  {
    for (const ChartSeries& series : aChart.series_) {
      for (const ChartPoint& point : series.points_) {
        maxX_ = std::max(maxX_, point.x_);
        maxY_ = std::max(maxY_, point.y_);
      }
    }
    maxX_ = maxX_ <= 0 ? 1 : maxX_ * 1.05;
    maxY_ = maxY_ <= 0 ? 1 : maxY_ * 1.05;
  }

  void Draw()
  {
    Text(kLeft, 20, chart_.title_, "start");
    Text((kLeft + kWidth - kRight) / 2, kHeight - 8, chart_.xTitle_, "middle");
    Text(6, kTop - 6, chart_.yTitle_, "start");
    Axes();
    for (std::size_t i = 0; i < chart_.series_.size(); ++i) {
      Series(chart_.series_[i], i);
    }
  }

private:
  double X(double aValue) const
  {
    return kLeft + aValue / maxX_ * (kWidth - kLeft - kRight);
  }
  double Y(double aValue) const
  {
    return kHeight - kBottom - aValue / maxY_ * (kHeight - kTop - kBottom);
  }

  void Text(double aX,
            double aY,
            const std::string& aText,
            std::string_view aAnchor)
  {
    output_ << "<text x=\"" << aX << "\" y=\"" << aY + offset_
            << "\" text-anchor=\"" << aAnchor << "\">" << Escape(aText)
            << "</text>\n";
  }

  void Line(double aX1, double aY1, double aX2, double aY2)
  {
    output_ << "<line x1=\"" << aX1 << "\" y1=\"" << aY1 + offset_ << "\" x2=\""
            << aX2 << "\" y2=\"" << aY2 + offset_ << "\" stroke=\"#bbb\"/>\n";
  }

  void Axes()
  {
    for (int i = 0; i <= kTicks; ++i) {
      const double x = maxX_ * i / kTicks;
      const double y = maxY_ * i / kTicks;
      Line(X(0), Y(y), X(maxX_), Y(y));
      Text(X(x), kHeight - kBottom + 16, Format(x), "middle");
      Text(kLeft - 6, Y(y) + 4, Format(y), "end");
    }
    Line(X(0), Y(0), X(0), Y(maxY_));
  }

  void Series(const ChartSeries& aSeries, std::size_t aIndex)
  {
    const std::string_view colour = kColours.at(aIndex % kColours.size());
    if (aSeries.line_) {
      output_ << "<polyline fill=\"none\" stroke=\"" << colour
              << "\" points=\"";
      for (const ChartPoint& point : aSeries.points_) {
        output_ << X(point.x_) << ',' << Y(point.y_) + offset_ << ' ';
      }
      output_ << "\"/>\n";
    }
    for (const ChartPoint& point : aSeries.points_) {
      if (aSeries.line_ && point.label_.empty()) {
        continue;
      }
      output_ << "<circle r=\"3\" cx=\"" << X(point.x_) << "\" cy=\""
              << Y(point.y_) + offset_ << "\" fill=\"" << colour << "\"/>\n";
      Text(X(point.x_) + 5, Y(point.y_) - 4, point.label_, "start");
    }
    const double y = kTop + 18.0 * static_cast<double>(aIndex);
    output_ << "<rect x=\"" << kWidth - kRight + 12 << "\" y=\""
            << y + offset_ - 9 << "\" width=\"10\" height=\"10\" fill=\""
            << colour << "\"/>\n";
    Text(kWidth - kRight + 28, y, aSeries.name_, "start");
  }

  const Chart& chart_;
  double offset_;
  std::ostream& output_;
  double maxX_ = 0;
  double maxY_ = 0;
};

} // namespace

void
WriteSvg(const std::vector<Chart>& aCharts, std::ostream& aOutput)
{
  const double height = kHeight * static_cast<double>(aCharts.size());
  aOutput << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
          << "\" height=\"" << height
          << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
          << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  double offset = 0;
  for (const Chart& chart : aCharts) {
    Drawing(chart, offset, aOutput).Draw();
    offset += kHeight;
  }
  aOutput << "</svg>\n";
}

} // namespace crocusslip::replay
