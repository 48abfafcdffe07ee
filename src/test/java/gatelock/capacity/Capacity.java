package gatelock.capacity;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Every line's figure, bound and the factor between them, at any share of the target and under any load. */
final class Capacity {
    private final Target target;
    private final Measured slopes;
    private final Lines lines;
    private final Formulas formulas = new Formulas();
    private final Map<String, Map<String, Double>> named = new HashMap<>();

    Capacity(Target target, Measured slopes, Lines lines) {
        this.target = target;
        this.slopes = slopes;
        this.lines = lines;
    }

    /** A line under a load; NaN: not measured. A factor above 1 is over the bound; NaN also where there is none. */
    record Figure(double value, double bound, double factor) {
        boolean over() {
            return factor > 1;
        }
    }

    double value(String formula, Map<String, Double> names) {
        return formulas.value(formula, names);
    }

    Target target() {
        return target;
    }

    Lines lines() {
        return lines;
    }

    Measured slopes() {
        return slopes;
    }

    /** What formulas may name: inputs, slopes, bounds, what is derived of them, and the load's own. */
    Map<String, Double> names(double share, String load) {
        return named.computeIfAbsent(load + share, key -> anew(share, load));
    }

    private Map<String, Double> anew(double share, String load) {
        Map<String, Double> names = new LinkedHashMap<>(target.at(share));
        names.putAll(slopes.values());
        target.bounds()
                .forEach((name, b) -> names.put(
                        name + "Bound", b.formula() == null ? b.value() : formulas.value(b.formula(), names)));
        lines.derived().forEach((name, formula) -> names.put(name, formulas.value(formula, names)));
        lines.loads().get(load).set().forEach((name, formula) -> names.put(name, formulas.value(formula, names)));
        names.put("addedP99Ms", slopes.addedP99Ms(names.get("reqs")));
        return names;
    }

    Figure figure(Lines.Line line, double share, String load) {
        return figure(line, line.formula(), names(share, load));
    }

    /** As it is once the mechanism is there. */
    Figure after(Lines.Line line, double share, String load) {
        return figure(line, line.after() == null ? line.formula() : line.after(), names(share, load));
    }

    private Figure figure(Lines.Line line, String formula, Map<String, Double> names) {
        double value = formulas.value(formula, names);
        if (line.bound() == null) {
            return new Figure(value, Double.NaN, Double.NaN);
        }
        double bound = names.get(line.bound() + "Bound");
        boolean least = target.bounds().get(line.bound()).least();
        return new Figure(value, bound, least ? bound / value : value / bound);
    }

    /** Loads under which a line stands. */
    Stream<String> loads(Lines.Line line) {
        return lines.loads().keySet().stream().filter(line::under);
    }

    /** The worst factor of a line over its loads at the whole target; NaN: none. */
    double worst(Lines.Line line) {
        return loads(line)
                .mapToDouble(load -> figure(line, 1, load).factor())
                .filter(f -> !Double.isNaN(f))
                .max()
                .orElse(Double.NaN);
    }

    /** Lines that pass their bound under some load at the whole target. */
    List<Lines.Line> over() {
        return lines.lines().stream().filter(l -> worst(l) > 1).toList();
    }
}
