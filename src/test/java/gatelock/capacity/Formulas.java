package gatelock.capacity;

import com.ezylang.evalex.EvaluationException;
import com.ezylang.evalex.Expression;
import com.ezylang.evalex.config.ExpressionConfiguration;
import com.ezylang.evalex.parser.ParseException;
import java.math.MathContext;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Formulas as the page shows them, and their values; each is parsed once. */
final class Formulas {
    private static final ExpressionConfiguration FORM =
            ExpressionConfiguration.builder().mathContext(MathContext.DECIMAL64).build();

    private final Map<String, Parsed> parsed = new HashMap<>();

    private record Parsed(Expression expression, Set<String> names) {}

    private Parsed parsed(String formula) {
        return parsed.computeIfAbsent(formula, f -> new Parsed(new Expression(f, FORM), names(f)));
    }

    /** Its value; NaN where it needs a name that has none. */
    double value(String formula, Map<String, Double> names) {
        try {
            Parsed of = parsed(formula);
            for (String name : of.names) {
                Double value = names.get(name);
                if (value == null || value.isNaN()) {
                    return Double.NaN;
                }
                of.expression.with(name, value);
            }
            return of.expression.evaluate().getNumberValue().doubleValue();
        } catch (EvaluationException | ParseException e) {
            throw new IllegalArgumentException(formula + ": " + e.getMessage(), e);
        }
    }

    /** The names that a formula uses. */
    static Set<String> names(String formula) {
        try {
            return new Expression(formula).getUsedVariables();
        } catch (ParseException e) {
            throw new IllegalArgumentException(formula + ": " + e.getMessage(), e);
        }
    }
}
