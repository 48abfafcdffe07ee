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

/** The commands that talk to a running relay through its operator listener. */
final class AdminCommands {

    private AdminCommands() {}

    /** Base class: sends one HTTP request and prints its JSON response. */
    abstract static class AdminCommand extends OutputCommand {
        private static final Pattern ADDRESS = Pattern.compile("[^/\\s:]+:[0-9]{1,5}");
        private static final Duration TIMEOUT = Duration.ofSeconds(10);
        private static final int HTTP_OK = 200;

        @Option(
                names = "--at",
                required = true,
                paramLabel = "ADDRESS",
                description = "address:port of the relay's operator listener")
        private String address;

        /** Sends a request to the relay, prints the response and returns the exit code. */
        final int request(String method, String path) throws UnusableInputException, IOException, InterruptedException {
            if (!ADDRESS.matcher(address).matches()) {
                throw new UnusableInputException("expected address:port for --at, found " + address);
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
                return response.statusCode() == HTTP_OK ? Commands.EXIT_OK : Commands.EXIT_FINDINGS;
            } catch (IOException e) {
                throw new UnusableInputException("no response from a relay at " + address + ": " + e, e);
            }
        }

        /** Formats each field as a line; a list that is not empty becomes a line for each item instead. */
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
    @Command(
            name = "status",
            description = "Prints the state of a running relay and of its connection to the control service.")
    static final class Status extends AdminCommand {
        @Override
        public Integer call() throws UnusableInputException, IOException, InterruptedException {
            return request("GET", "/status");
        }
    }

    /** Prints the configuration versions that a relay has used. */
    @Command(
            name = "history",
            description = "Lists the versions a running relay has applied: since when, from where, by whom and why.")
    static final class History extends AdminCommand {
        @Override
        public Integer call() throws UnusableInputException, IOException, InterruptedException {
            return request("GET", "/history");
        }
    }

    /** Rolls a relay back to an earlier configuration version and pins it. */
    @Command(name = "back", description = "Rolls back to an earlier version and pins it until release.")
    static final class Back extends AdminCommand {
        @Parameters(paramLabel = "NUMBER")
        private long number;

        @Option(
                names = "--why",
                paramLabel = "<why>",
                required = true,
                description = "the reason, which is kept in the history")
        private String reason;

        @Override
        public Integer call() throws UnusableInputException, IOException, InterruptedException {
            String escapedReason = URLEncoder.encode(reason, StandardCharsets.UTF_8);
            return request("POST", "/back?number=" + number + "&why=" + escapedReason);
        }
    }

    /** Unpins the version of a rollback, so that the control service is followed again. */
    @Command(name = "release", description = "Ends a rollback: the relay follows the control service again.")
    static final class Release extends AdminCommand {
        @Override
        public Integer call() throws UnusableInputException, IOException, InterruptedException {
            return request("POST", "/release");
        }
    }
}
