package gatelock.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;

/** Roles, loads and the formulas of each line, from docs/capacity/lines.json. */
record Lines(LinkedHashMap<String, String> derived, LinkedHashMap<String, Load> loads, List<Line> lines) {

    /** What happens meanwhile, and the names that it sets. */
    record Load(String what, LinkedHashMap<String, String> set) {}

    /**
     * One figure of one role; {@code loads}: those it means something under, none named: all; {@code ladder}: the load
     * it stands under on the ladder, none: it is not on it; {@code after}: its formula once the mechanism 'membership
     * by scope' is there, none: as before; {@code lost}: what is lost where its bound is crossed.
     */
    record Line(
            String id,
            String role,
            String line,
            String formula,
            String unit,
            String bound,
            List<String> loads,
            String mechanism,
            String ladder,
            String after,
            String lost) {
        boolean under(String load) {
            return loads == null || loads.contains(load);
        }
    }

    /** @throws IOException where the file can't be read, or holds anything that is not known */
    static Lines read(Path file) throws IOException {
        return new ObjectMapper().readValue(file.toFile(), Lines.class);
    }

    Line line(String id) {
        return lines.stream()
                .filter(l -> l.id.equals(id))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no line " + id));
    }
}
