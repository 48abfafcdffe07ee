package gatelock.config;

import com.networknt.schema.Error;
import com.networknt.schema.ExecutionContext;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Validates documents against the published JSON Schemas (draft 2020-12). */
public enum SchemaValidator {
    /** The schema of a configuration version. */
    PLAN("/gatelock/plan.schema.json"),
    /** The schema of the operator's configuration file. */
    OPERATOR("/gatelock/operator.schema.json");

    private static final int MAX_VIOLATIONS = 1_000;

    private final String resource;

    SchemaValidator(String resource) {
        this.resource = resource;
    }

    /** Holds the compiled schema of a configuration version; compiled once, on first use, for all threads. */
    private static final class CompiledPlanSchema {
        private static final Schema SCHEMA = PLAN.compileSchema();
    }

    /** Holds the compiled schema of the operator's configuration file; compiled once, on first use, for all threads. */
    private static final class CompiledOperatorSchema {
        private static final Schema SCHEMA = OPERATOR.compileSchema();
    }

    /** Returns the text of the schema, as {@code gatelock schema} prints it. */
    public String schemaText() {
        try (InputStream in = SchemaValidator.class.getResourceAsStream(resource)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException("can't read the resource " + resource, e);
        }
    }

    /**
     * The violations of one document. Once there are more than are ever reported, the validation is stopped, as a
     * document can have more of them than fit into memory.
     */
    private static final class Violations extends ArrayList<Error> {
        private static final long serialVersionUID = 1L;

        @Override
        public boolean add(Error error) {
            if (size() == MAX_VIOLATIONS) {
                throw new TooManyViolationsException();
            }
            return super.add(error);
        }
    }

    private static final class TooManyViolationsException extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    private List<Error> violations(ConfigDocument document) {
        Violations violations = new Violations();
        try {
            schema().validate(document.root(), (ExecutionContext context) -> context.setErrors(violations));
        } catch (TooManyViolationsException e) {
            // Those that were found until now are enough.
        }
        return violations;
    }

    /**
     * Validates a document and adds an error for each violation, or for the first thousand of them. The error's code is
     * {@code S-} followed by the violated schema keyword in upper case.
     */
    public void validate(ConfigDocument document, List<Diagnostic> diagnostics) {
        for (Error error : violations(document)) {
            String keyword = error.getKeyword();
            diagnostics.add(Diagnostic.newError(
                    "S-" + keyword.toUpperCase(Locale.ROOT),
                    pointer(error, keyword),
                    error.getMessage(),
                    remedy(keyword, error)));
        }
    }

    private Schema schema() {
        return switch (this) {
            case PLAN -> CompiledPlanSchema.SCHEMA;
            case OPERATOR -> CompiledOperatorSchema.SCHEMA;
        };
    }

    private Schema compileSchema() {
        return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                .getSchema(schemaText(), InputFormat.JSON);
    }

    /**
     * Returns the JSON pointer for a violation. The library reports an unknown property at the enclosing object; the
     * diagnostic points at the property itself.
     */
    private static String pointer(Error error, String keyword) {
        String pointer = error.getInstanceLocation().toString();
        if (error.getProperty() != null && keyword.equals("additionalProperties")) {
            return pointer + "/" + ConfigDocument.escapePointerToken(error.getProperty());
        }
        return pointer;
    }

    private static String remedy(String keyword, Error error) {
        Object[] arguments = error.getArguments();
        Object argument = arguments == null || arguments.length == 0 ? "" : arguments[0];
        return switch (keyword) {
            case "required" -> "add " + error.getProperty();
            case "additionalProperties" -> "remove it, or correct its name: " + error.getProperty();
            case "enum" -> "use one of " + argument;
            case "const" -> "use " + argument;
            case "type" -> "use the type that the schema requires there";
            case "minimum", "exclusiveMinimum", "maximum" -> "use a number within its bounds (" + argument + ")";
            case "pattern" -> "use a text of the form " + argument;
            case "anyOf" -> "add one of the fields that the schema requires there";
            default -> "see the schema (gatelock schema) for " + error.getSchemaLocation();
        };
    }
}
