package gatelock.config;

import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/** A published JSON Schema, and the check of a text against it. */
public enum SchemaValidator {
    PLAN("/gatelock/plan.schema.json"),
    OPERATOR("/gatelock/operator.schema.json");

    private final String resource;
    private Schema schema;

    SchemaValidator(String resource) {
        this.resource = resource;
    }

    /** The schema's own text. */
    public String text() {
        try (InputStream in = SchemaValidator.class.getResourceAsStream(resource)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException("the program holds no " + resource, e);
        }
    }

    /** Adds a finding for each place where a text does not have this form. */
    public void check(ConfigDocument draft, List<Diagnostic> findings) {
        for (Error error : schema().validate(draft.root())) {
            String pointer = error.getInstanceLocation().toString();
            String keyword = error.getKeyword();
            if (error.getProperty() != null) {
                pointer = keyword.equals("additionalProperties")
                        ? pointer + "/" + ConfigDocument.escaped(error.getProperty())
                        : pointer;
            }
            findings.add(ConfigDocument.grave(
                    "S-" + keyword.toUpperCase(Locale.ROOT), pointer, error.getMessage(), mend(keyword, error)));
        }
    }

    private synchronized Schema schema() {
        if (schema == null) {
            schema = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                    .getSchema(text(), InputFormat.JSON);
        }
        return schema;
    }

    private static String mend(String keyword, Error error) {
        Object first = error.getArguments() == null || error.getArguments().length == 0 ? "" : error.getArguments()[0];
        return switch (keyword) {
            case "required" -> "add " + error.getProperty();
            case "additionalProperties" -> "take it out, or mend its name: " + error.getProperty();
            case "enum" -> "use one of " + first;
            case "const" -> "use " + first;
            case "type" -> "use the type that is asked for there";
            case "minimum", "exclusiveMinimum", "maximum" -> "use a number within its bounds (" + first + ")";
            case "pattern" -> "use a text of the form " + first;
            case "anyOf" -> "add one of the fields that are asked for there";
            default -> "see the schema (gatelock schema) for " + error.getSchemaLocation();
        };
    }
}
