package gatelock.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The ladder as one chart: each bound's factor over the share of the target, both on logarithmic axes. */
final class Chart {
    private static final int WIDTH = 1000;
    private static final int LEFT = 70;
    private static final int RIGHT = 640;
    private static final int TOP = 50;
    private static final int BOTTOM = 560;
    private static final double LOWEST = 1e-3;
    private static final double HIGHEST = 1e3;
    private static final int LABEL = 15;
    private static final String[] COLOURS = {
        "#0b5fa5", "#b3261e", "#2e7d32", "#8e4ec6", "#c77700", "#00838f", "#6d4c41", "#455a64", "#ad1457", "#558b2f"
    };

    private Chart() {}

    /** A label and where its line ends. */
    private record Mark(String text, String colour, double y) {}

    static String svg(Target target, List<Ladder.Rung> rungs) {
        List<Ladder.Rung> drawn =
                rungs.stream().filter(r -> !Double.isNaN(r.crossed())).toList();
        int height = Math.max(BOTTOM + 60, TOP + 60 + LABEL * drawn.size());
        StringBuilder svg = new StringBuilder();
        line(
                svg,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\" font-family=\"sans-serif\" "
                        + "font-size=\"12\">",
                WIDTH,
                height);
        line(svg, "<rect width=\"%d\" height=\"%d\" fill=\"#ffffff\"/>", WIDTH, height);
        line(
                svg,
                "<text x=\"%d\" y=\"22\" font-size=\"15\">The ladder: figure over bound by share of the target "
                        + "(dashed: with membership by scope)</text>",
                LEFT);
        axes(svg, target);
        List<Mark> marks = new ArrayList<>();
        for (int i = 0; i < drawn.size(); i++) {
            Ladder.Rung rung = drawn.get(i);
            String colour = COLOURS[i % COLOURS.length];
            path(svg, target, rung.before(), colour, "");
            if (rung.line().after() != null && !Double.isNaN(rung.crossedAfter())) {
                path(svg, target, rung.after(), colour, " stroke-dasharray=\"5 4\"");
            }
            marks.add(new Mark(
                    rung.line().id() + " " + Table.share(rung.crossed()),
                    colour,
                    y(rung.before()[rung.before().length - 1])));
        }
        labels(svg, marks);
        return svg.append("</svg>\n").toString();
    }

    private static void axes(StringBuilder svg, Target target) {
        for (double f = LOWEST; f <= HIGHEST * 1.01; f *= 10) {
            boolean bound = Math.abs(f - 1) < 0.01;
            line(
                    svg,
                    "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"%s\" stroke-width=\"%s\"/>",
                    LEFT,
                    y(f),
                    RIGHT,
                    y(f),
                    bound ? "#222222" : "#dddddd",
                    bound ? "2" : "1");
            line(
                    svg,
                    "<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%s</text>",
                    LEFT - 6,
                    y(f) + 4,
                    bound ? "bound" : Table.figure(f));
        }
        for (Target.Step step : target.steps()) {
            line(
                    svg,
                    "<line x1=\"%.1f\" y1=\"%d\" x2=\"%.1f\" y2=\"%d\" stroke=\"#dddddd\"/>",
                    x(target, step.share()),
                    TOP,
                    x(target, step.share()),
                    BOTTOM);
            line(
                    svg,
                    "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%s</text>",
                    x(target, step.share()),
                    BOTTOM + 18,
                    step.name());
        }
    }

    private static void path(StringBuilder svg, Target target, double[] factors, String colour, String dash) {
        StringBuilder points = new StringBuilder();
        for (int i = 0; i < factors.length; i++) {
            points.append(String.format(
                    Locale.ROOT,
                    i == 0 ? "%.1f,%.1f" : " %.1f,%.1f",
                    x(target, target.steps().get(i).share()),
                    y(factors[i])));
        }
        line(svg, "<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\"%s/>", points, colour, dash);
    }

    /** Beside the ends of their lines, moved apart so that none covers another. */
    private static void labels(StringBuilder svg, List<Mark> marks) {
        List<Mark> inOrder = marks.stream()
                .sorted(java.util.Comparator.comparingDouble(Mark::y))
                .toList();
        double free = TOP;
        for (Mark mark : inOrder) {
            double at = Math.max(free, mark.y);
            free = at + LABEL;
            line(
                    svg,
                    "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"%s\" stroke-width=\"0.5\"/>",
                    RIGHT,
                    mark.y,
                    RIGHT + 30,
                    at,
                    mark.colour);
            line(svg, "<text x=\"%d\" y=\"%.1f\" fill=\"%s\">%s</text>", RIGHT + 34, at + 4, mark.colour, mark.text);
        }
    }

    private static double x(Target target, double share) {
        double least = Math.log10(target.steps().get(0).share());
        return LEFT + (RIGHT - LEFT) * (Math.log10(share) - least) / -least;
    }

    private static double y(double factor) {
        double inside = Math.log10(Math.min(HIGHEST, Math.max(LOWEST, factor)));
        return BOTTOM - (BOTTOM - TOP) * (inside - Math.log10(LOWEST)) / Math.log10(HIGHEST / LOWEST);
    }

    private static void line(StringBuilder svg, String form, Object... values) {
        svg.append(String.format(Locale.ROOT, form, values)).append('\n');
    }
}
