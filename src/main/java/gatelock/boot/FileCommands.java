package gatelock.boot;

import gatelock.config.CompiledConfig;
import gatelock.config.ConfigCompiler;
import gatelock.config.ConfigDiff;
import gatelock.config.ConfigVersion;
import gatelock.config.DeploymentContext;
import gatelock.config.Diagnostic;
import gatelock.config.RequestAttributes;
import gatelock.config.RouteExplainer;
import gatelock.config.SchemaValidator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The commands that work on files with a configuration version, without a running relay. */
final class FileCommands {

    private FileCommands() {}

    /** Base class: reads the deployment that a version is intended for, and compiles versions. */
    abstract static class FileCommand extends OutputCommand {
        @Option(
                names = "--deployment",
                paramLabel = "CONFIG",
                defaultValue = "${env:PROXY_CONFIG}",
                description = "the relay's configuration, which defines classes, tenants, zones and kinds (default: "
                        + "$PROXY_CONFIG)")
        private Path deployment;

        /** Reads the deployment that a version is checked against. */
        final DeploymentContext readDeployment() throws UnusableInputException {
            if (deployment == null) {
                throw new UnusableInputException(
                        "no deployment: specify a relay's configuration with --deployment or PROXY_CONFIG");
            }
            try {
                return RelayConfig.read(deployment).deploymentContext();
            } catch (ConfigurationException e) {
                throw new UnusableInputException(e.getMessage(), e);
            }
        }

        /** Compiles a file; the result holds all diagnostics. */
        final ConfigCompiler.Result compile(Path file, DeploymentContext context) throws UnusableInputException {
            try {
                return new ConfigCompiler(context).compile(ConfigVersion.Epoch.NONE, 0, Files.readAllBytes(file));
            } catch (IOException e) {
                throw new UnusableInputException(file + " cannot be read: " + e, e);
            }
        }

        /** Compiles a file, whose diagnostics must not contain an error. */
        final CompiledConfig compileValid(Path file, DeploymentContext context) throws UnusableInputException {
            ConfigCompiler.Result compiled = compile(file, context);
            if (!compiled.isValid()) {
                throw new UnusableInputException(format(file, compiled.diagnostics()));
            }
            return compiled.config();
        }

        /** Formats each diagnostic as a line with its file, line and column. */
        static String format(Path file, List<Diagnostic> diagnostics) {
            return diagnostics.stream()
                    .map(diagnostic -> file + ":" + diagnostic)
                    .collect(Collectors.joining("\n"));
        }
    }

    /** Checks a configuration version. */
    @Command(name = "check", description = "Checks a version against a deployment and reports all findings.")
    static final class Check extends FileCommand {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() throws UnusableInputException, IOException {
            ConfigCompiler.Result compiled = compile(file, readDeployment());
            Map<String, Object> result = new LinkedHashMap<>();
            result.put("good", compiled.isValid());
            result.put(
                    "findings",
                    compiled.diagnostics().stream()
                            .map(Diagnostic::toJsonFields)
                            .toList());
            print(result, summarize(compiled));
            return compiled.isValid() ? Commands.EXIT_OK : Commands.EXIT_FINDINGS;
        }

        private String summarize(ConfigCompiler.Result compiled) {
            String findings = format(file, compiled.diagnostics());
            String summary = compiled.isValid()
                    ? file + ": valid, " + compiled.config().routeCount() + " routes"
                    : file + ": would be rejected";
            return findings.isEmpty() ? summary : findings + "\n" + summary;
        }
    }

    /** Compares two configuration versions. */
    @Command(
            name = "diff",
            description =
                    "Shows which requests two versions treat differently, and how; exits with 1 if there are any.")
    static final class Diff extends FileCommand {
        @Parameters(index = "0", paramLabel = "OLD")
        private Path oldFile;

        @Parameters(index = "1", paramLabel = "NEW")
        private Path newFile;

        @Override
        public Integer call() throws UnusableInputException, IOException {
            DeploymentContext context = readDeployment();
            List<String> differences =
                    ConfigDiff.compare(compileValid(oldFile, context), compileValid(newFile, context), context);
            String text = differences.isEmpty() ? "no request is treated differently" : String.join("\n", differences);
            print(Map.of("differences", differences), text);
            return differences.isEmpty() ? Commands.EXIT_OK : Commands.EXIT_FINDINGS;
        }
    }

    /** Explains how a configuration version treats one request. */
    @Command(name = "explain", description = "Shows the route, pool, limits and policy that apply to a request.")
    static final class Explain extends FileCommand {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Option(names = "--method", defaultValue = "GET")
        private String method;

        @Option(names = "--path", required = true)
        private String path;

        @Option(names = "--host")
        private String host;

        @Option(names = "--header", paramLabel = "NAME=VALUE", description = "may be repeated")
        private Map<String, String> headers = new TreeMap<>();

        @Override
        public Integer call() throws UnusableInputException, IOException {
            DeploymentContext context = readDeployment();
            Map<String, String> caseInsensitiveHeaders = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            caseInsensitiveHeaders.putAll(headers);
            RequestAttributes request =
                    new RequestAttributes(method.toUpperCase(Locale.ROOT), host, path, caseInsensitiveHeaders::get);
            Map<String, Object> explanation = RouteExplainer.explain(compileValid(file, context), context, request);
            String text = explanation.entrySet().stream()
                    .map(entry -> entry.getKey() + ": " + entry.getValue())
                    .collect(Collectors.joining("\n"));
            print(explanation, text);
            return explanation.containsKey("route") ? Commands.EXIT_OK : Commands.EXIT_FINDINGS;
        }
    }

    /** Prints a JSON Schema. */
    @Command(name = "schema", description = "Prints the JSON Schema of a version or of the operator's file.")
    static final class Schema extends OutputCommand {
        @Parameters(arity = "0..1", defaultValue = "plan", paramLabel = "plan|operator")
        private String name;

        @Override
        public Integer call() throws UnusableInputException {
            try {
                printText(SchemaValidator.valueOf(name.toUpperCase(Locale.ROOT)).schemaText());
                return Commands.EXIT_OK;
            } catch (IllegalArgumentException e) {
                throw new UnusableInputException("expected plan or operator, found " + name, e);
            }
        }
    }
}
