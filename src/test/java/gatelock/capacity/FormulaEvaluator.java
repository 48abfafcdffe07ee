package gatelock.capacity;

import com.ezylang.evalex.EvaluationException;
import com.ezylang.evalex.Expression;
import com.ezylang.evalex.config.ExpressionConfiguration;
import com.ezylang.evalex.parser.ParseException;
import java.math.MathContext;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Evaluates the formulas of the capacity model and the page, and caches their parsed form. */
final class FormulaEvaluator {
    private static final ExpressionConfiguration CONFIGURATION =
            ExpressionConfiguration.builder().mathContext(MathContext.DECIMAL64).build();

    private final Map<String, Parsed> parsedByFormula = new HashMap<>();

    private record Parsed(Expression expression, Set<String> names) {}

    private Parsed parse(String formula) {
        return parsedByFormula.computeIfAbsent(formula, f -> new Parsed(new Expression(f, CONFIGURATION), names(f)));
    }

    /**
     * Returns the value of a formula, or NaN if it uses a variable that has no value.
     *
     * @param values values of variables by name
     * @throws IllegalArgumentException if the formula cannot be parsed or evaluated
     */
    double value(String formula, Map<String, Double> values) {
        try {
            Parsed parsed = parse(formula);
            for (String name : parsed.names) {
                Double value = values.get(name);
                if (value == null || value.isNaN()) {
                    return Double.NaN;
                }
                parsed.expression.with(name, value);
            }
            return parsed.expression.evaluate().getNumberValue().doubleValue();
        } catch (EvaluationException | ParseException e) {
            throw new IllegalArgumentException(formula + ": " + e.getMessage(), e);
        }
    }

    /**
     * Returns the names of the variables that a formula uses.
     *
     * @throws IllegalArgumentException if the formula cannot be parsed
     */
    static Set<String> names(String formula) {
        try {
            return new Expression(formula).getUsedVariables();
        } catch (ParseException e) {
            throw new IllegalArgumentException(formula + ": " + e.getMessage(), e);
        }
    }
}
