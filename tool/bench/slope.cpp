/** @file slope.cpp Straight lines through measured points. */

#include "slope.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>

namespace wisteriahoist::bench {

Line fitLine(const std::vector<Point> &points)
{
    const auto count = static_cast<double>(points.size());
    double sumSize = 0;
    double sumCost = 0;
    for (const Point &point : points) {
        sumSize += point.size;
        sumCost += point.cost;
    }
    const double meanSize = sumSize / count;
    const double meanCost = sumCost / count;
    double covariance = 0;
    double variance = 0;
    for (const Point &point : points) {
        covariance += (point.size - meanSize) * (point.cost - meanCost);
        variance += (point.size - meanSize) * (point.size - meanSize);
    }
    Line line;
    line.perUnit = variance > 0 ? covariance / variance : 0;
    line.fixed = meanCost - line.perUnit * meanSize;
    for (const Point &point : points) {
        const double expected = line.fixed + line.perUnit * point.size;
        line.residual = std::max(line.residual, std::abs(point.cost - expected));
    }
    return line;
}

Line report(const Series &series, const std::string &folder)
{
    const Line line = fitLine(series.points);
    std::ofstream csv(folder + "/" + series.name + ".csv");
    csv << series.unit << "," << series.name << "\n";
    for (const Point &point : series.points) {
        csv << point.size << "," << point.cost << "\n";
    }
    csv << "# fixed=" << line.fixed << " per_unit=" << line.perUnit << " residual=" << line.residual
        << "\n";
    std::cout << "slope " << series.name << ": fixed=" << line.fixed << " per_" << series.unit
              << "=" << line.perUnit << " residual=" << line.residual << "\n";
    return line;
}

} // namespace wisteriahoist::bench
