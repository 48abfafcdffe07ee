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

/** Commands on files with a version of the configuration; no relay need run. */
final class FileCommands {

    private FileCommands() {}

    /** What these commands share: the deployment that a version is for. */
    abstract static class FileCommand extends OutputCommand {
        @Option(
                names = "--deployment",
                paramLabel = "CONFIG",
                defaultValue = "${env:PROXY_CONFIG}",
                description = "the relay's configuration, for classes, tenants, zones and kinds (default: "
                        + "$PROXY_CONFIG)")
        private Path deployment;

        /** Reads what the version is checked against. */
        final DeploymentContext readDeployment() throws UnusableInputException {
            if (deployment == null) {
                throw new UnusableInputException(
                        "no deployment: name a relay's configuration with --deployment or PROXY_CONFIG");
            }
            try {
                return RelayConfig.read(deployment).deploymentContext();
            } catch (ConfigurationException e) {
                throw new UnusableInputException(e.getMessage(), e);
            }
        }

        /** Compiles a file, with whatever findings there are. */
        final ConfigCompiler.Result compile(Path file, DeploymentContext context) throws UnusableInputException {
            try {
                return new ConfigCompiler(context).compile(ConfigVersion.Epoch.NONE, 0, Files.readAllBytes(file));
            } catch (IOException e) {
                throw new UnusableInputException(file + " can't be read: " + e, e);
            }
        }

        /** Compiles a file that must have no grave findings. */
        final CompiledConfig compileSound(Path file, DeploymentContext context) throws UnusableInputException {
            ConfigCompiler.Result compiled = compile(file, context);
            if (!compiled.isValid()) {
                throw new UnusableInputException(format(file, compiled.findings()));
            }
            return compiled.config();
        }

        /** One line for each finding, with its file, line and column. */
        static String format(Path file, List<Diagnostic> diagnostics) {
            return diagnostics.stream().map(found -> file + ":" + found).collect(Collectors.joining("\n"));
        }
    }

    /** Checks a version. */
    @Command(name = "check", description = "Checks a version for a deployment and tells all that is wrong with it.")
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
                    compiled.findings().stream().map(Diagnostic::toJsonFields).toList());
            print(result, text(compiled));
            return compiled.isValid() ? Commands.GOOD : Commands.FINDINGS;
        }

        private String text(ConfigCompiler.Result compiled) {
            String findings = format(file, compiled.findings());
            String summary = compiled.isValid()
                    ? file + ": good, " + compiled.config().routeCount() + " routes"
                    : file + ": would be turned down";
            return findings.isEmpty() ? summary : findings + "\n" + summary;
        }
    }

    /** Compares two versions. */
    @Command(
            name = "diff",
            description = "What changes for which reqs from one version to another; 1 where something does.")
    static final class Diff extends FileCommand {
        @Parameters(index = "0", paramLabel = "OLD")
        private Path before;

        @Parameters(index = "1", paramLabel = "NEW")
        private Path after;

        @Override
        public Integer call() throws UnusableInputException, IOException {
            DeploymentContext context = readDeployment();
            List<String> differences =
                    ConfigDiff.compare(compileSound(before, context), compileSound(after, context), context);
            String text = differences.isEmpty() ? "no req is treated otherwise" : String.join("\n", differences);
            print(Map.of("differences", differences), text);
            return differences.isEmpty() ? Commands.GOOD : Commands.FINDINGS;
        }
    }

    /** Explains how a version treats one request. */
    @Command(name = "explain", description = "Which route, pool, limits and policy a req would meet.")
    static final class Explain extends FileCommand {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Option(names = "--method", defaultValue = "GET")
        private String method;

        @Option(names = "--path", required = true)
        private String path;

        @Option(names = "--host")
        private String host;

        @Option(names = "--header", paramLabel = "NAME=VALUE", description = "may be given again")
        private Map<String, String> headers = new TreeMap<>();

        @Override
        public Integer call() throws UnusableInputException, IOException {
            DeploymentContext context = readDeployment();
            Map<String, String> caseInsensitive = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            caseInsensitive.putAll(headers);
            RequestAttributes request =
                    new RequestAttributes(method.toUpperCase(Locale.ROOT), host, path, caseInsensitive::get);
            Map<String, Object> explanation = RouteExplainer.explain(compileSound(file, context), context, request);
            String text = explanation.entrySet().stream()
                    .map(entry -> entry.getKey() + ": " + entry.getValue())
                    .collect(Collectors.joining("\n"));
            print(explanation, text);
            return explanation.containsKey("route") ? Commands.GOOD : Commands.FINDINGS;
        }
    }

    /** Prints a JSON Schema. */
    @Command(name = "schema", description = "The JSON Schema of a version, or of the operator's file.")
    static final class Schema extends OutputCommand {
        @Parameters(arity = "0..1", defaultValue = "plan", paramLabel = "plan|operator")
        private String name;

        @Override
        public Integer call() throws UnusableInputException {
            try {
                printText(SchemaValidator.valueOf(name.toUpperCase(Locale.ROOT)).schemaText());
                return Commands.GOOD;
            } catch (IllegalArgumentException e) {
                throw new UnusableInputException("there are schemas for plan and operator, none for " + name, e);
            }
        }
    }
}
