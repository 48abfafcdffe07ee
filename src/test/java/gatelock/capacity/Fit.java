package gatelock.capacity;

import java.util.List;

/**
 * A straight line through points, by least squares.
 *
 * @param residual the largest distance of a point from the line, as a share of the line's value there
 */
public record Fit(double slope, double intercept, double residual) {

    /** @param points of x and y; at least two values of x differ */
    public static Fit of(List<double[]> points) {
        double meanX = points.stream().mapToDouble(p -> p[0]).average().orElseThrow();
        double meanY = points.stream().mapToDouble(p -> p[1]).average().orElseThrow();
        double xx = points.stream()
                .mapToDouble(p -> (p[0] - meanX) * (p[0] - meanX))
                .sum();
        if (xx == 0) {
            throw new IllegalArgumentException("a line needs two values of x");
        }
        double slope = points.stream()
                        .mapToDouble(p -> (p[0] - meanX) * (p[1] - meanY))
                        .sum()
                / xx;
        double intercept = meanY - slope * meanX;
        double residual = points.stream()
                .mapToDouble(p -> {
                    double fit = intercept + slope * p[0];
                    return p[1] == fit ? 0 : Math.abs((p[1] - fit) / fit);
                })
                .max()
                .orElseThrow();
        return new Fit(slope, intercept, residual);
    }
}
