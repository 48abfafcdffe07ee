package gatelock.simulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import gatelock.api.LoadReport;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the reading of present, absent and malformed fields of a line. */
final class FieldReaderTest {

    @Test
    void readsFieldsInOrderAndRestWithItsSpaces() {
        FieldReader fields = new FieldReader("NAME text 17 0.5 - a=b c=d");
        assertThat(fields.name()).isEqualTo("NAME");
        assertThat(fields.requiredText("text")).isEqualTo("text");
        assertThat(fields.requiredLong("number")).isEqualTo(17);
        assertThat(fields.optionalDouble(1)).isEqualTo(0.5);
        assertThat(fields.optionalLong(3)).isEqualTo(3);
        assertThat(fields.rest()).isEqualTo("a=b c=d");
        assertThat(new FieldReader("NAME").rest()).isEmpty();
    }

    @Test
    void treatsFieldsPastEndOfLineAsAbsent() {
        FieldReader fields = new FieldReader("NAME");
        assertThat(fields.optionalInt(5)).isEqualTo(5);
        assertThat(fields.optionalDouble(0.5)).isEqualTo(0.5);
        assertThat(fields.loadReport()).isEqualTo(LoadReport.NONE);
        assertThatThrownBy(() -> fields.requiredText("unit"))
                .isInstanceOf(MalformedLineException.class)
                .hasMessage("expected unit in NAME");
    }

    @Test
    void rejectsMalformedFields() {
        assertThatThrownBy(() -> new FieldReader("NAME x").requiredLong("clock"))
                .isInstanceOf(MalformedLineException.class)
                .hasMessage("expected clock in NAME, found x");
        assertThatThrownBy(() -> new FieldReader("NAME 4").requiredIndex("form", 4))
                .isInstanceOf(MalformedLineException.class)
                .hasMessage("expected form below 4 in NAME, found 4");
        assertThatThrownBy(() -> new FieldReader("NAME c").oneOf(Map.of("a", 1), "result"))
                .isInstanceOf(MalformedLineException.class)
                .hasMessage("expected result in NAME, found c");
        assertThatThrownBy(() -> new FieldReader("NAME waiting").loadReport())
                .isInstanceOf(MalformedLineException.class)
                .hasMessage("expected name:value in NAME, found waiting");
    }

    @Test
    void ignoresUnknownValuesInLoadReport() {
        assertThat(new FieldReader("NAME cpu:0.5,waiting:3").loadReport()).isEqualTo(new LoadReport(3));
    }
}
