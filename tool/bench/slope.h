/** @file slope.h Straight lines through measured points, and the CSV files they go to. */

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wisteriahoist::bench {

/** One measured point. */
struct Point {
    double size = 0;
    double cost = 0;
};

/** cost = fixed + perUnit * size. */
struct Line {
    double fixed = 0;
    double perUnit = 0;
    double residual = 0; ///< Largest distance of a point from the line, in units of cost.
};

/** @return The line of least squares. @pre At least two different sizes. */
Line fitLine(const std::vector<Point> &points);

/** One series of points, e.g. bytes for each range. */
struct Series {
    std::string name; ///< With the unit of the cost.
    std::string unit; ///< What the size counts.
    std::vector<Point> points;
};

/** Prints the line through @p series and writes points and line to FOLDER/NAME.csv. */
Line report(const Series &series, const std::string &folder);

} // namespace wisteriahoist::bench
