package gatelock.boot;

import com.fasterxml.jackson.jr.ob.JSON;
import gatelock.config.CompiledConfig;
import gatelock.config.ConfigCompiler;
import gatelock.config.ConfigDiff;
import gatelock.config.ConfigVersion;
import gatelock.config.DeploymentContext;
import gatelock.config.Diagnostic;
import gatelock.config.RequestAttributes;
import gatelock.config.RouteExplainer;
import gatelock.config.SchemaValidator;
import gatelock.simulator.SimulatorHost;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * The command line. Each command ends with 0: good, 1: findings or a refusal, 2: input that can't be used.
 */
@Command(
        name = "gatelock",
        mixinStandardHelpOptions = true,
        version = "gatelock 0.1.0",
        description = "Routes reqs while builds are released in stages, and votes on them.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:good", "1:findings, a difference, or a refusal", "2:input that can't be used"},
        subcommands = {
            Commands.Serve.class,
            Commands.Rehearse.class,
            Commands.Wire.class,
            Commands.Check.class,
            Commands.Differ.class,
            Commands.Explains.class,
            Commands.Schema.class,
            Commands.Status.class,
            Commands.History.class,
            Commands.Back.class,
            Commands.Release.class,
            CommandLine.HelpCommand.class
        })
final class Commands {
    static final int GOOD = 0;
    static final int FINDINGS = 1;
    static final int UNUSABLE = 2;

    private Commands() {}

    /** Runs one command and gives its exit code, or a negative one where the program goes on running. */
    static int run(PrintWriter out, PrintWriter err, String... args) {
        return new CommandLine(new Commands())
                .setOut(out)
                .setErr(err)
                .setExecutionExceptionHandler((e, line, parsed) -> {
                    line.getErr().println("gatelock: " + (e instanceof Unusable ? e.getMessage() : e.toString()));
                    return UNUSABLE;
                })
                .execute(args);
    }

    /** Input that can't be used; its message is all there is to say. */
    private static final class Unusable extends Exception {
        private static final long serialVersionUID = 1L;

        Unusable(String message) {
            super(message);
        }
    }

    /** What all commands that say something share. */
    abstract static class Saying implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Option(names = "--json", description = "answer as JSON")
        private boolean json;

        @Option(
                names = {"-h", "--help"},
                usageHelp = true,
                description = "show this help")
        private boolean help;

        final boolean json() {
            return json;
        }

        final PrintWriter out() {
            return spec.commandLine().getOut();
        }

        /** A JSON value on one line, or text. */
        final void say(Object value, String text) throws IOException {
            out().println(json ? JSON.std.asString(value) : text);
            out().flush();
        }
    }

    /** What commands on files share: the deployment that a version is for. */
    abstract static class OnFiles extends Saying {
        @Option(
                names = "--deployment",
                paramLabel = "CONFIG",
                defaultValue = "${env:PROXY_CONFIG}",
                description = "the relay's configuration, for classes, tenants, zones and kinds (default: "
                        + "$PROXY_CONFIG)")
        private Path deployment;

        final DeploymentContext grounds() throws Unusable {
            if (deployment == null) {
                throw new Unusable(
                        "no deployment: name a relay's configuration with --deployment or " + "PROXY_CONFIG");
            }
            try {
                return RelayConfig.read(deployment).grounds();
            } catch (IOException e) {
                throw new Unusable(e.getMessage());
            }
        }

        final ConfigCompiler.Compiled compiled(Path file, DeploymentContext grounds) throws Unusable {
            try {
                return new ConfigCompiler(grounds).compile(ConfigVersion.Epoch.NONE, 0, Files.readAllBytes(file));
            } catch (IOException e) {
                throw new Unusable(file + " can't be read: " + e);
            }
        }

        final CompiledConfig sound(Path file, DeploymentContext grounds) throws Unusable {
            ConfigCompiler.Compiled compiled = compiled(file, grounds);
            if (!compiled.good()) {
                throw new Unusable(lines(file, compiled.findings()));
            }
            return compiled.plan();
        }

        static String lines(Path file, List<Diagnostic> findings) {
            StringBuilder lines = new StringBuilder();
            findings.forEach(f -> lines.append(lines.length() == 0 ? "" : "\n")
                    .append(file)
                    .append(':')
                    .append(f));
            return lines.toString();
        }
    }

    @Command(name = "serve", description = "Runs one relay on the configuration that PROXY_CONFIG names.")
    static final class Serve extends Saying {
        @Parameters(arity = "0..1", paramLabel = "cold", hidden = true)
        private String word;

        @Option(names = "--cold", description = "without a rehearsal")
        private boolean cold;

        @Option(
                names = "--operator",
                paramLabel = "FILE",
                description = "the operator's own file; without it all that it " + "names is off")
        private Path operator;

        @Override
        public Integer call() throws Unusable {
            if (word != null && !word.equals("cold")) {
                throw new Unusable("serve knows no " + word);
            }
            return Main.serve(cold || word != null ? RelayService.Start.COLD : RelayService.Start.REHEARSED, operator)
                    ? -1
                    : UNUSABLE;
        }
    }

    @Command(
            name = "rehearse",
            description = "Rehearses on a free port and ends; the build learns from "
                    + "it which classes a "
                    + "relay needs.")
    static final class Rehearse extends Saying {
        @Override
        public Integer call() {
            return Main.serve(RelayService.Start.REHEARSAL_ONLY, null) ? -1 : UNUSABLE;
        }
    }

    @Command(
            name = "wirehost",
            description = "The decisions on the simulator's wire, on standard input " + "and output.")
    static final class Wire extends Saying {
        @Override
        public Integer call() throws IOException {
            SimulatorHost.main(new String[0]);
            return GOOD;
        }
    }

    @Command(
            name = "check",
            description = "Checks a version for a deployment and tells all that is wrong " + "with it.")
    static final class Check extends OnFiles {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() throws Exception {
            ConfigCompiler.Compiled compiled = compiled(file, grounds());
            Map<String, Object> said = new LinkedHashMap<>();
            said.put("good", compiled.good());
            said.put(
                    "findings",
                    compiled.findings().stream().map(Diagnostic::fields).toList());
            String lines = lines(file, compiled.findings());
            say(
                    said,
                    (lines.isEmpty() ? "" : lines + "\n")
                            + (compiled.good()
                                    ? file + ": good, " + compiled.plan().routes() + " routes"
                                    : file + ": would be turned down"));
            return compiled.good() ? GOOD : FINDINGS;
        }
    }

    @Command(
            name = "diff",
            description = "What changes for which reqs from one version to another; 1 " + "where something does.")
    static final class Differ extends OnFiles {
        @Parameters(index = "0", paramLabel = "OLD")
        private Path before;

        @Parameters(index = "1", paramLabel = "NEW")
        private Path after;

        @Override
        public Integer call() throws Exception {
            DeploymentContext grounds = grounds();
            List<String> lines = ConfigDiff.of(sound(before, grounds), sound(after, grounds), grounds);
            say(
                    Map.of("differences", lines),
                    lines.isEmpty() ? "no req is treated otherwise" : String.join("\n", lines));
            return lines.isEmpty() ? GOOD : FINDINGS;
        }
    }

    @Command(name = "explain", description = "Which route, pool, limits and policy a req would meet.")
    static final class Explains extends OnFiles {
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
        public Integer call() throws Exception {
            DeploymentContext grounds = grounds();
            Map<String, String> lower = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            lower.putAll(headers);
            Map<String, Object> said = RouteExplainer.of(
                    sound(file, grounds),
                    grounds,
                    new RequestAttributes(method.toUpperCase(Locale.ROOT), host, path, lower::get));
            StringBuilder text = new StringBuilder();
            said.forEach((k, v) -> text.append(text.length() == 0 ? "" : "\n")
                    .append(k)
                    .append(": ")
                    .append(v));
            say(said, text.toString());
            return said.containsKey("route") ? GOOD : FINDINGS;
        }
    }

    @Command(name = "schema", description = "The JSON Schema of a version, or of the operator's file.")
    static final class Schema extends Saying {
        @Parameters(arity = "0..1", defaultValue = "plan", paramLabel = "plan|operator")
        private String which;

        @Override
        public Integer call() throws Unusable {
            try {
                out().println(SchemaValidator.valueOf(which.toUpperCase(Locale.ROOT))
                        .text());
                out().flush();
                return GOOD;
            } catch (IllegalArgumentException e) {
                throw new Unusable("there are schemas for plan and operator, none for " + which);
            }
        }
    }

    /** What commands to a running relay share. */
    abstract static class Asking extends Saying {
        @Option(names = "--at", required = true, paramLabel = "ADDRESS", description = "the relay's operator listener")
        private String at;

        final int ask(String method, String what) throws Exception {
            if (!at.matches("[^/\\s:]+:[0-9]{1,5}")) {
                throw new Unusable("--at wants address:port, found " + at);
            }
            HttpRequest asked = HttpRequest.newBuilder(URI.create("http://" + at + what))
                    .timeout(Duration.ofSeconds(10))
                    .method(method, HttpRequest.BodyPublishers.noBody())
                    .build();
            try {
                HttpResponse<String> answer = HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .build()
                        .send(asked, HttpResponse.BodyHandlers.ofString());
                Map<String, Object> said = JSON.std.mapFrom(answer.body());
                StringBuilder text = new StringBuilder();
                said.forEach((k, v) -> lines(text, k, v));
                say(said, text.toString().stripTrailing());
                return answer.statusCode() == 200 ? GOOD : FINDINGS;
            } catch (IOException e) {
                throw new Unusable("no relay answers at " + at + ": " + e);
            }
        }

        private static void lines(StringBuilder text, String name, Object value) {
            if (value instanceof List<?> list && !list.isEmpty()) {
                list.forEach(item -> text.append(item).append('\n'));
            } else {
                text.append(name).append(": ").append(value).append('\n');
            }
        }

        static String escaped(String text) {
            return URLEncoder.encode(text, StandardCharsets.UTF_8);
        }
    }

    @Command(name = "status", description = "What a running relay holds and whom it hears.")
    static final class Status extends Asking {
        @Override
        public Integer call() throws Exception {
            return ask("GET", "/status");
        }
    }

    @Command(
            name = "history",
            description = "Which versions a running relay had in force, since when, " + "whose and why.")
    static final class History extends Asking {
        @Override
        public Integer call() throws Exception {
            return ask("GET", "/history");
        }
    }

    @Command(name = "back", description = "Goes back to a version and keeps it until release.")
    static final class Back extends Asking {
        @Parameters(paramLabel = "NUMBER")
        private long number;

        @Option(names = "--why", required = true, description = "kept in the history")
        private String why;

        @Override
        public Integer call() throws Exception {
            return ask("POST", "/back?number=" + number + "&why=" + escaped(why));
        }
    }

    @Command(name = "release", description = "Lets the control service lead again after back.")
    static final class Release extends Asking {
        @Override
        public Integer call() throws Exception {
            return ask("POST", "/release");
        }
    }
}
