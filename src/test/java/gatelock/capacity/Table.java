package gatelock.capacity;

import java.math.BigDecimal;
import java.math.MathContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A Markdown table, and figures as the page writes them: three places that count. */
final class Table {
    private final List<String> rows = new ArrayList<>();

    Table(String... head) {
        row((Object[]) head);
        rows.add("|" + " --- |".repeat(head.length));
    }

    /** Texts as they are, figures by {@link #figure}. */
    Table row(Object... cells) {
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

    int size() {
        return rows.size() - 2;
    }

    @Override
    public String toString() {
        return String.join("\n", rows);
    }

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

    /** A share of the target as a fraction: 1/18. */
    static String share(double share) {
        if (Double.isNaN(share)) {
            return "not measured";
        }
        if (Double.isInfinite(share)) {
            return "not crossed";
        }
        double parts = 1 / share;
        return share <= Ladder.LEAST
                ? "below 1/10000"
                : "1/"
                        + (parts < 9.95
                                ? String.format(Locale.ROOT, "%.1f", parts)
                                : String.format(Locale.ROOT, "%.0f", parts));
    }
}
