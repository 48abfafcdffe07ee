package gatelock.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Reads the simulator's lines and keeps track of the line number. */
final class LineReader {
    private static final int BUFFER_CHARS = 1 << 16;

    private final BufferedReader in;
    private long lineNumber;

    /** Creates a reader of UTF-8 text. */
    LineReader(InputStream in) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), BUFFER_CHARS);
    }

    /** Reads the next line; returns empty at the end of the input. */
    Optional<FieldReader> next() throws IOException {
        lineNumber++;
        return Optional.ofNullable(in.readLine()).map(FieldReader::new);
    }

    /** Reads the next line, which must be a message with this name. */
    FieldReader next(String expectedName) throws IOException {
        FieldReader fields = next().orElseGet(() -> new FieldReader(""));
        requireName(fields, expectedName);
        return fields;
    }

    /** Checks that a line is a message with this name. */
    static void requireName(FieldReader fields, String expectedName) {
        if (!fields.name().equals(expectedName)) {
            throw new MalformedLineException("expected " + expectedName + ", found " + fields.name());
        }
    }

    /** Returns the number of the last line that was read, starting from 1. */
    long lineNumber() {
        return lineNumber;
    }
}
