package gatelock.boot;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands to a running relay, through its operator's listener. */
final class AdminCommands {

    private AdminCommands() {}

    /** What these commands share: one HTTP request, whose JSON response is printed. */
    abstract static class AdminCommand extends OutputCommand {
        private static final Pattern ADDRESS = Pattern.compile("[^/\\s:]+:[0-9]{1,5}");
        private static final Duration TIMEOUT = Duration.ofSeconds(10);
        private static final int HTTP_OK = 200;

        @Option(names = "--at", required = true, paramLabel = "ADDRESS", description = "the relay's operator listener")
        private String address;

        /** Sends a request, prints the response and returns the exit code. */
        final int request(String method, String path) throws UnusableInputException, IOException, InterruptedException {
            if (!ADDRESS.matcher(address).matches()) {
                throw new UnusableInputException("--at wants address:port, found " + address);
            }
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                    .timeout(TIMEOUT)
                    .method(method, HttpRequest.BodyPublishers.noBody())
                    .build();
            try {
                HttpResponse<String> response = HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .build()
                        .send(request, HttpResponse.BodyHandlers.ofString());
                Map<String, Object> fields = JSON.std.mapFrom(response.body());
                print(fields, format(fields));
                return response.statusCode() == HTTP_OK ? Commands.GOOD : Commands.FINDINGS;
            } catch (IOException e) {
                throw new UnusableInputException("no relay answers at " + address + ": " + e, e);
            }
        }

        /** A line for each field, and for each item of a list that is not empty. */
        private static String format(Map<String, Object> fields) {
            StringBuilder text = new StringBuilder();
            fields.forEach((name, value) -> {
                if (value instanceof List<?> list && !list.isEmpty()) {
                    list.forEach(item -> text.append(item).append('\n'));
                } else {
                    text.append(name).append(": ").append(value).append('\n');
                }
            });
            return text.toString().stripTrailing();
        }
    }

    /** Prints the state of a relay. */
    @Command(name = "status", description = "What a running relay holds and whom it hears.")
    static final class Status extends AdminCommand {
        @Override
        public Integer call() throws UnusableInputException, IOException, InterruptedException {
            return request("GET", "/status");
        }
    }

    /** Prints the versions that a relay had in force. */
    @Command(name = "history", description = "Which versions a running relay had in force, since when, whose and why.")
    static final class History extends AdminCommand {
        @Override
        public Integer call() throws UnusableInputException, IOException, InterruptedException {
            return request("GET", "/history");
        }
    }

    /** Rolls a relay back to an earlier version and pins it. */
    @Command(name = "back", description = "Goes back to a version and keeps it until release.")
    static final class Back extends AdminCommand {
        @Parameters(paramLabel = "NUMBER")
        private long number;

        @Option(names = "--why", paramLabel = "<why>", required = true, description = "kept in the history")
        private String reason;

        @Override
        public Integer call() throws UnusableInputException, IOException, InterruptedException {
            String escapedReason = URLEncoder.encode(reason, StandardCharsets.UTF_8);
            return request("POST", "/back?number=" + number + "&why=" + escapedReason);
        }
    }

    /** Ends a rollback. */
    @Command(name = "release", description = "Lets the control service lead again after back.")
    static final class Release extends AdminCommand {
        @Override
        public Integer call() throws UnusableInputException, IOException, InterruptedException {
            return request("POST", "/release");
        }
    }
}
