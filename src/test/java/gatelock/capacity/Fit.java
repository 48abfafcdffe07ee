package gatelock.capacity;

import java.util.List;

/**
 * A straight line through points, by least squares.
 *
 * @param residual the largest distance of a point from the line, as a share of the line's value there
 */
public record Fit(double slope, double intercept, double residual) {

    /** A point that a line is fitted to. */
    record Point(double x, double y) {}

    /**
     * Fits a line to points that are given as pairs of x and y.
     *
     * @param points at least two values of x differ
     */
    public static Fit of(List<double[]> points) {
        return through(points.stream().map(p -> new Point(p[0], p[1])).toList());
    }

    /**
     * Fits a line to points.
     *
     * @param points at least two values of x differ
     */
    static Fit through(List<Point> points) {
        double meanX = points.stream().mapToDouble(Point::x).average().orElseThrow();
        double meanY = points.stream().mapToDouble(Point::y).average().orElseThrow();
        double sumXx =
                points.stream().mapToDouble(p -> (p.x - meanX) * (p.x - meanX)).sum();
        if (sumXx == 0) {
            throw new IllegalArgumentException("a line needs two values of x");
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
