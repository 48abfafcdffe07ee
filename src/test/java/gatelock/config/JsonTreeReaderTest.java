package gatelock.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against texts whose values take much more memory than the texts. */
final class JsonTreeReaderTest {
    private static final int MAX_BYTES = 100_000;

    private static String read(String text) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            parser.nextToken();
            return new JsonTreeReader(parser, MAX_BYTES).readValue().toString();
        }
    }

    @Test
    void readsAllKindsOfValues() throws IOException {
        String text = "{\"a\":[1,2.5,\"x\",true,null,{}],\"b\":{\"c\":[]}}";
        assertThat(read(text)).isEqualTo(text);
    }

    @ParameterizedTest
    @ValueSource(strings = {"{},", "[],", "{\"a\":1},", "1,", "\"\",", "\"a long text\","})
    void stopsBeforeTreeTakesMoreMemoryThanAllowed(String part) {
        String text = "[" + part.repeat(20_000) + "0]";
        assertThatThrownBy(() -> read(text))
                .isInstanceOfSatisfying(
                        JsonTreeReader.TreeTooLargeException.class,
                        e -> assertThat(e.location().getColumnNr()).isLessThan(MAX_BYTES / 2));
    }
}
