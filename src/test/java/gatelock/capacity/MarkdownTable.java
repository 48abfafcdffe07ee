package gatelock.capacity;

import java.math.BigDecimal;
import java.math.MathContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Builds a Markdown table and formats numbers for the page, with three significant digits. */
final class MarkdownTable {
    private final List<String> rows = new ArrayList<>();

    /** Starts a table with a heading for each column. */
    MarkdownTable(String... headings) {
        row((Object[]) headings);
        rows.add("|" + " --- |".repeat(headings.length));
    }

    /** Adds a row. Numbers are formatted with {@link #figure}, other values with {@code String.valueOf}. */
    MarkdownTable row(Object... cells) {
        StringBuilder row = new StringBuilder("|");
        for (Object cell : cells) {
            String text = cell instanceof Number n ? figure(n.doubleValue()) : String.valueOf(cell);
            row.append(text.isEmpty() ? "" : " ")
                    .append(text.replace("\n", " "))
                    .append(" |");
        }
        rows.add(row.toString());
        return this;
    }

    /** Returns the number of rows below the headings. */
    int size() {
        return rows.size() - 2;
    }

    @Override
    public String toString() {
        return String.join("\n", rows);
    }

    /**
     * Formats a number with three significant digits. NaN stands for a value that was not measured, infinity for an
     * event that never happens.
     */
    static String figure(double value) {
        if (Double.isNaN(value)) {
            return "not measured";
        }
        if (Double.isInfinite(value)) {
            return value > 0 ? "never" : "-never";
        }
        if (value == 0) {
            return "0";
        }
        double magnitude = Math.abs(value);
        if (magnitude >= 999.5) {
            return String.format(Locale.ROOT, "%,.0f", value);
        }
        if (magnitude < 1e-5) {
            return String.format(Locale.ROOT, "%.1e", value);
        }
        BigDecimal rounded = new BigDecimal(value).round(new MathContext(3)).stripTrailingZeros();
        return rounded.toPlainString();
    }

    /**
     * Formats the share of the target at which a bound is crossed as a fraction, such as 1/18. NaN stands for a share
     * that was not measured, infinity for a bound that is not crossed.
     */
    static String share(double share) {
        if (Double.isNaN(share)) {
            return "not measured";
        }
        if (Double.isInfinite(share)) {
            return "not crossed";
        }
        if (share <= ScaleLadder.MIN_SHARE) {
            return "below 1/10000";
        }
        double denominator = 1 / share;
        return "1/" + String.format(Locale.ROOT, denominator < 9.95 ? "%.1f" : "%.0f", denominator);
    }

    /** Formats a share as a percentage. */
    static String percent(double share) {
        return figure(share * 100) + "%";
    }

    /** Formats the ratio of a value to its bound, in bold if the value is over its bound. */
    static String ratio(double ratio) {
        return ratio > 1 ? "**" + figure(ratio) + "**" : figure(ratio);
    }
}
