package gatelock.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** What all validators of one document share: the document, the deployment, the findings, and which names are used. */
final class ValidationContext {
    /** How many of the existing names a finding about an undefined one suggests. */
    private static final int MAX_SUGGESTED_NAMES = 10;

    private final ResolvedConfig config;
    private final DeploymentContext deployment;
    private final List<Diagnostic> findings;
    private final Set<String> usedDefinitions = new HashSet<>();

    ValidationContext(ResolvedConfig config, DeploymentContext deployment, List<Diagnostic> findings) {
        this.config = config;
        this.deployment = deployment;
        this.findings = findings;
    }

    ResolvedConfig config() {
        return config;
    }

    DeploymentContext deployment() {
        return deployment;
    }

    void error(String code, String pointer, String problem, String remedy) {
        findings.add(Diagnostic.newError(code, pointer, problem, remedy));
    }

    void warning(String code, String pointer, String problem, String remedy) {
        findings.add(Diagnostic.newWarning(code, pointer, problem, remedy));
    }

    /** Returns whether a section defines a name, which then counts as used; adds an error with that code if not. */
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
