package gatelock.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The state shared by all validators of one document: the document, the deployment, the diagnostics and the used names.
 */
final class ValidationContext {
    /** The maximum number of defined names that a diagnostic about an undefined name suggests. */
    private static final int MAX_SUGGESTED_NAMES = 10;

    private final ResolvedConfig config;
    private final DeploymentContext deployment;
    private final List<Diagnostic> diagnostics;
    private final Set<String> usedDefinitions = new HashSet<>();

    /** Creates a context whose diagnostics are added to {@code diagnostics}. */
    ValidationContext(ResolvedConfig config, DeploymentContext deployment, List<Diagnostic> diagnostics) {
        this.config = config;
        this.deployment = deployment;
        this.diagnostics = diagnostics;
    }

    /** Returns the document under validation. */
    ResolvedConfig config() {
        return config;
    }

    /** Returns the deployment settings against which the document is validated. */
    DeploymentContext deployment() {
        return deployment;
    }

    /** Adds an error at a JSON pointer. */
    void error(String code, String pointer, String problem, String remedy) {
        diagnostics.add(Diagnostic.newError(code, pointer, problem, remedy));
    }

    /** Adds a warning at a JSON pointer. */
    void warning(String code, String pointer, String problem, String remedy) {
        diagnostics.add(Diagnostic.newWarning(code, pointer, problem, remedy));
    }

    /**
     * Returns whether a section defines a name. A defined name is recorded as used; for an undefined one, an error with
     * the given code is added at the pointer.
     */
    boolean requireDefined(String section, String name, String pointer, String code) {
        if (config.defines(section, name)) {
            usedDefinitions.add(usageKey(section, name));
            return true;
        }
        error(
                code,
                pointer,
                "there is no " + name + " under " + section,
                "add it there, or name one of " + suggestions(section));
        return false;
    }

    /** Returns whether any reference to a name of a section was validated. */
    boolean isUsed(String section, String name) {
        return usedDefinitions.contains(usageKey(section, name));
    }

    private static String usageKey(String section, String name) {
        return section + "/" + name;
    }

    private String suggestions(String section) {
        List<String> names = new ArrayList<>();
        config.section(section).fieldNames().forEachRemaining(names::add);
        if (names.isEmpty()) {
            return "none, as it is empty";
        }
        return String.join(", ", names.subList(0, Math.min(names.size(), MAX_SUGGESTED_NAMES)));
    }
}
