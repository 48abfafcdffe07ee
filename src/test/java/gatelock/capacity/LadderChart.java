package gatelock.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/** Draws an SVG chart of the ratio of each metric to its bound by share of the target, on logarithmic axes. */
final class LadderChart {
    private static final int WIDTH = 1000;
    private static final int LEFT = 70;
    private static final int RIGHT = 640;
    private static final int TOP = 50;
    private static final int BOTTOM = 560;
    private static final int MARGIN = 60;
    private static final double MIN_RATIO = 1e-3;
    private static final double MAX_RATIO = 1e3;
    private static final int LABEL_HEIGHT = 15;
    private static final List<String> COLOURS = List.of(
            "#0b5fa5", "#b3261e", "#2e7d32", "#8e4ec6", "#c77700", "#00838f", "#6d4c41", "#455a64", "#ad1457",
            "#558b2f");

    /** A label and the y coordinate at which its curve ends. */
    private record Label(String text, String colour, double y) {}

    private final List<CapacityTarget.Step> steps;
    private final StringBuilder svg = new StringBuilder();

    LadderChart(CapacityTarget target) {
        this.steps = target.steps();
    }

    /** Returns the chart of all curves that were measured. */
    String svg(List<ScaleLadder.ScalingCurve> curves) {
        List<ScaleLadder.ScalingCurve> measuredCurves = curves.stream()
                .filter(curve -> !Double.isNaN(curve.crossedAt()))
                .toList();
        int height = Math.max(BOTTOM + MARGIN, TOP + MARGIN + LABEL_HEIGHT * measuredCurves.size());
        svg.setLength(0);
        drawFrame(height);
        drawRatioAxis();
        drawShareAxis();
        List<Label> labels = new ArrayList<>();
        for (int i = 0; i < measuredCurves.size(); i++) {
            labels.add(drawCurve(measuredCurves.get(i), COLOURS.get(i % COLOURS.size())));
        }
        drawLabels(labels);
        return svg.append("</svg>\n").toString();
    }

    private void drawFrame(int height) {
        append(
                "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\" font-family=\"sans-serif\" "
                        + "font-size=\"12\">",
                WIDTH, height);
        append("<rect width=\"%d\" height=\"%d\" fill=\"#ffffff\"/>", WIDTH, height);
        append(
                "<text x=\"%d\" y=\"22\" font-size=\"15\">The ladder: figure over bound by share of the target "
                        + "(dashed: with membership by scope)</text>",
                LEFT);
    }

    private void drawRatioAxis() {
        for (double ratio = MIN_RATIO; ratio <= MAX_RATIO * 1.01; ratio *= 10) {
            boolean isBound = Math.abs(ratio - 1) < 0.01;
            append(
                    "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"%s\" stroke-width=\"%s\"/>",
                    LEFT, y(ratio), RIGHT, y(ratio), isBound ? "#222222" : "#dddddd", isBound ? "2" : "1");
            append(
                    "<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%s</text>",
                    LEFT - 6, y(ratio) + 4, isBound ? "bound" : MarkdownTable.figure(ratio));
        }
    }

    private void drawShareAxis() {
        for (CapacityTarget.Step step : steps) {
            double x = x(step.share());
            append("<line x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%d\" stroke=\"#dddddd\"/>", x, TOP, x, BOTTOM);
            append("<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%s</text>", x, BOTTOM + 18, step.name());
        }
    }

    private Label drawCurve(ScaleLadder.ScalingCurve curve, String colour) {
        drawLine(curve.ratios(), colour, "");
        if (curve.metric().formulaWithSubsets() != null && !Double.isNaN(curve.crossedAtWithSubsets())) {
            drawLine(curve.ratiosWithSubsets(), colour, " stroke-dasharray=\"5 4\"");
        }
        String text = curve.metric().id() + " " + MarkdownTable.share(curve.crossedAt());
        return new Label(text, colour, y(curve.lastRatio()));
    }

    private void drawLine(List<Double> ratios, String colour, String dash) {
        List<String> points = new ArrayList<>();
        for (int i = 0; i < ratios.size(); i++) {
            points.add(String.format(Locale.ROOT, "%.1f,%.1f", x(steps.get(i).share()), y(ratios.get(i))));
        }
        append(
                "<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\"%s/>",
                String.join(" ", points), colour, dash);
    }

    /** Draws labels beside the ends of their curves, and moves them apart so that none covers another. */
    private void drawLabels(List<Label> labels) {
        List<Label> fromTop =
                labels.stream().sorted(Comparator.comparingDouble(Label::y)).toList();
        double nextFreeY = TOP;
        for (Label label : fromTop) {
            double labelY = Math.max(nextFreeY, label.y);
            nextFreeY = labelY + LABEL_HEIGHT;
            append(
                    "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"%s\" stroke-width=\"0.5\"/>",
                    RIGHT, label.y, RIGHT + 30, labelY, label.colour);
            append("<text x=\"%d\" y=\"%.1f\" fill=\"%s\">%s</text>", RIGHT + 34, labelY + 4, label.colour, label.text);
        }
    }

    private double x(double share) {
        double minExponent = Math.log10(steps.get(0).share());
        return LEFT + (RIGHT - LEFT) * (Math.log10(share) - minExponent) / -minExponent;
    }

    private static double y(double ratio) {
        double exponent = Math.log10(Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio)));
        return BOTTOM - (BOTTOM - TOP) * (exponent - Math.log10(MIN_RATIO)) / Math.log10(MAX_RATIO / MIN_RATIO);
    }

    private void append(String format, Object... values) {
        svg.append(String.format(Locale.ROOT, format, values)).append('\n');
    }
}
