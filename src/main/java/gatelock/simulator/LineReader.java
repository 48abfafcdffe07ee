package gatelock.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Reads the simulator's lines and counts them. */
final class LineReader {
    private static final int BUFFER_CHARS = 1 << 16;

    private final BufferedReader in;
    private long lineNumber;

    LineReader(InputStream in) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), BUFFER_CHARS);
    }

    /** Reads the next line; empty at the end of the input. */
    Optional<FieldReader> next() throws IOException {
        lineNumber++;
        return Optional.ofNullable(in.readLine()).map(FieldReader::new);
    }

    /** Reads the next line, which must be a message of this name. */
    FieldReader next(String expectedName) throws IOException {
        FieldReader fields = next().orElseGet(() -> new FieldReader(""));
        requireName(fields, expectedName);
        return fields;
    }

    /** Checks that a line is a message of this name. */
    static void requireName(FieldReader fields, String expectedName) {
        if (!fields.name().equals(expectedName)) {
            throw new MalformedLineException("expected " + expectedName + ", found " + fields.name());
        }
    }

    /** The number of the line that was read last, from 1 on. */
    long lineNumber() {
        return lineNumber;
    }
}
