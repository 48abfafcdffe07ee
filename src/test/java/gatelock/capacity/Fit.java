package gatelock.capacity;

import java.util.List;

/**
 * A straight line fitted to points by least squares.
 *
 * @param residual the largest distance of a point from the line, relative to the value of the line at that point
 */
public record Fit(double slope, double intercept, double residual) {

    /** A point to which a line is fitted. */
    record Point(double x, double y) {}

    /**
     * Fits a line to points that are given as pairs of x and y.
     *
     * @param points points with at least two different values of x
     */
    public static Fit of(List<double[]> points) {
        return through(points.stream().map(p -> new Point(p[0], p[1])).toList());
    }

    /**
     * Fits a line to points.
     *
     * @param points points with at least two different values of x
     * @throws IllegalArgumentException if all points have the same x
     */
    static Fit through(List<Point> points) {
        double meanX = points.stream().mapToDouble(Point::x).average().orElseThrow();
        double meanY = points.stream().mapToDouble(Point::y).average().orElseThrow();
        double sumXx =
                points.stream().mapToDouble(p -> (p.x - meanX) * (p.x - meanX)).sum();
        if (sumXx == 0) {
            throw new IllegalArgumentException("fitting a line needs at least two different values of x");
        }
        double sumXy =
                points.stream().mapToDouble(p -> (p.x - meanX) * (p.y - meanY)).sum();
        double slope = sumXy / sumXx;
        double intercept = meanY - slope * meanX;
        double residual = points.stream()
                .mapToDouble(p -> relativeDistance(p.y, intercept + slope * p.x))
                .max()
                .orElseThrow();
        return new Fit(slope, intercept, residual);
    }

    private static double relativeDistance(double value, double fitted) {
        return value == fitted ? 0 : Math.abs((value - fitted) / fitted);
    }
}
