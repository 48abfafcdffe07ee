package gatelock.capacity;

import java.math.BigDecimal;
import java.math.MathContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A Markdown table, and figures as the page writes them: with three significant digits. */
final class MarkdownTable {
    private final List<String> rows = new ArrayList<>();

    /** A table with a heading for each column. */
    MarkdownTable(String... headings) {
        row((Object[]) headings);
        rows.add("|" + " --- |".repeat(headings.length));
    }

    /** Adds a row: numbers as {@link #figure} writes them, all else as text. */
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

    /** The number of rows below the headings. */
    int size() {
        return rows.size() - 2;
    }

    @Override
    public String toString() {
        return String.join("\n", rows);
    }

    /** A figure with three significant digits; NaN: not measured, infinite: never. */
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
        double size = Math.abs(value);
        if (size >= 999.5) {
            return String.format(Locale.ROOT, "%,.0f", value);
        }
        if (size < 1e-5) {
            return String.format(Locale.ROOT, "%.1e", value);
        }
        BigDecimal rounded = new BigDecimal(value).round(new MathContext(3)).stripTrailingZeros();
        return rounded.toPlainString();
    }

    /** A share of the target as a fraction, such as 1/18; NaN: not measured, infinite: not crossed. */
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

    /** A share in per cent. */
    static String percent(double share) {
        return figure(share * 100) + "%";
    }

    /** A ratio of a figure to its bound, in bold where it is over it. */
    static String ratio(double ratio) {
        return ratio > 1 ? "**" + figure(ratio) + "**" : figure(ratio);
    }
}
