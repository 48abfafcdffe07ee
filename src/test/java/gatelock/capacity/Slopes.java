package gatelock.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.config.Admission;
import gatelock.config.ConfigCompiler;
import gatelock.config.ConfigVersion;
import gatelock.config.SampleConfigs;
import gatelock.config.VersionTracker;
import gatelock.standin.FakeDeployment;
import gatelock.standin.LongListDiscovery;
import gatelock.standin.OpenLoop;
import gatelock.standin.RelayProcess;
import gatelock.state.EndpointAddresses;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.HdrHistogram.Histogram;

/**
 * Measures what a relay costs by endpoints, routes, tenants, connections, requests, changes and versions, and how real
 * relays fare on long lists. Not a test: run by {@code make measure-capacity}, which writes
 * docs/capacity/slopes.json. Named parts alone are measured where their names are given.
 */
public final class Slopes {
    /** Doubled each time, so that hash tables are as full at each. */
    private static final int[] UNITS = {25_000, 50_000, 100_000, 200_000};

    private static final int[] ROUTES = {2_875, 11_500, 23_000, 46_000};
    private static final int[] REAL_ENTRIES = {1_000, 10_000, 100_000, 200_000};
    private static final int MANY = 40;
    private static final String NOT_RUN = "not run";
    private static final int CLIENTS = 16;
    private static final long MB = 1 << 20;
    private static final Logger LOG = Logger.getLogger("gatelock");

    private final Path out;
    private final Map<String, Object> run = new LinkedHashMap<>();
    private final Map<String, Map<String, Object>> slopes = new LinkedHashMap<>();
    private final List<Object> latency = new ArrayList<>();
    private final List<Object> classes = new ArrayList<>();
    private final List<Object> real = new ArrayList<>();
    private final Map<String, Object> many = new LinkedHashMap<>();
    private final Map<String, String> notes = new LinkedHashMap<>();
    private final Path directory = Files.createTempDirectory("gatelock-slopes");

    private interface Part {
        void measure() throws Exception;
    }

    private Slopes(Path out) throws IOException {
        this.out = out;
    }

    public static void main(String[] args) throws Exception {
        System.setProperty("org.jboss.logging.provider", "jdk");
        // A play that ends cuts its connections; what the program says of that is no finding.
        LOG.setLevel(Level.OFF);
        Slopes slopes = new Slopes(Path.of(args[0]));
        slopes.all(Set.of(args).size() > 1 ? Set.of(Arrays.copyOfRange(args, 1, args.length)) : Set.of());
        System.exit(0);
    }

    private void all(Set<String> only) throws Exception {
        Instant now = Instant.now().truncatedTo(ChronoUnit.SECONDS);
        String commit = said("git", "rev-parse", "--short", "HEAD");
        run.put("id", now.toString().replaceAll("[-:]", "") + "-" + commit);
        run.put("date", now.toString());
        run.put("commit", commit);
        run.put("cores", Runtime.getRuntime().availableProcessors());
        run.put("java", System.getProperty("java.version"));
        run.put("flags", String.join(" ", RelayProcess.flags()));
        run.put(
                "flagsHere",
                String.join(" ", ManagementFactory.getRuntimeMXBean().getInputArguments()));
        run.put(
                "machine",
                Files.readString(Path.of("/proc/cpuinfo"))
                        .lines()
                        .filter(l -> l.startsWith("model name"))
                        .findFirst()
                        .map(l -> l.replaceAll(".*: ", ""))
                        .orElse("not told"));
        Map<String, Part> parts = new LinkedHashMap<>();
        parts.put("reqs", this::requests);
        parts.put("units", this::endpoints);
        parts.put("module", this::module);
        parts.put("versions", this::versions);
        parts.put("bytes", this::bytes);
        parts.put("tenants", this::tenants);
        parts.put("connections", this::connections);
        parts.put("real", this::real);
        parts.put("many", this::many);
        parts.keySet().forEach(name -> notes.put(name, NOT_RUN));
        for (Map.Entry<String, Part> part : parts.entrySet()) {
            long fromNs = System.nanoTime();
            if (!only.isEmpty() && !only.contains(part.getKey())) {
                continue;
            }
            try {
                notes.put(part.getKey(), "cut short");
                part.getValue().measure();
                notes.remove(part.getKey(), "cut short");
            } catch (IOException | RuntimeException e) {
                notes.put(part.getKey(), "failed: " + e);
                e.printStackTrace();
            }
            System.out.printf("%s: %.1f s%n", part.getKey(), (System.nanoTime() - fromNs) / 1e9);
            write();
        }
    }

    private static String said(String... command) throws IOException {
        Process asked = new ProcessBuilder(command).redirectErrorStream(true).start();
        return new String(asked.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
    }

    private void write() throws IOException {
        Map<String, Object> perRequest = slopes.get("cpuPerReqUs");
        for (Map<String, Object> slope : slopes.values()) {
            if (perRequest != null && "us".equals(slope.get("y"))) {
                slope.put("ratioToReq", round((double) slope.get("slope") / (double) perRequest.get("slope")));
            }
        }
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("run", run);
        all.put("slopes", List.copyOf(slopes.values()));
        all.put("latency", latency);
        all.put("classes", classes);
        all.put("real", real);
        all.put("many", many);
        all.put("notes", notes);
        Files.createDirectories(out.toAbsolutePath().getParent());
        Files.writeString(
                out,
                new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(all) + "\n");
    }

    /** Five digits, as no figure here is surer than that. */
    private static double round(double value) {
        return value == 0 || !Double.isFinite(value)
                ? value
                : new java.math.BigDecimal(value)
                        .round(new java.math.MathContext(5))
                        .doubleValue();
    }

    private void slope(String name, String what, String x, String y, List<double[]> points, String how) {
        Fit fit = Fit.of(points);
        Map<String, Object> slope = new LinkedHashMap<>();
        slope.put("name", name);
        slope.put("what", what);
        slope.put("x", x);
        slope.put("y", y);
        slope.put(
                "points",
                points.stream().map(p -> List.of((long) p[0], round(p[1]))).toList());
        slope.put("slope", round(fit.slope()));
        slope.put("intercept", round(fit.intercept()));
        slope.put("residual", round(fit.residual()));
        slope.put("how", how);
        slopes.put(name, slope);
        System.out.printf(
                "%s: %.5g a %s, from %.5g; residual %.3f; %s%n",
                name, fit.slope(), x, fit.intercept(), fit.residual(), slope.get("points"));
    }

    private static double[] point(double x, double y) {
        return new double[] {x, y};
    }

    // ---- One relay as a process, and what is around it -------------------------------------------------------

    /** The example's configuration with this village, this list and these orgs; many descriptors. */
    private static String configuration(FakeDeployment village, String listen, String discovery, int tenants)
            throws IOException {
        StringBuilder orgs = new StringBuilder("\"orgs\": [{\"name\": \"acme\", \"quotaPerS\": 1000}");
        for (int i = 1; i < tenants; i++) {
            orgs.append(String.format(", {\"name\": \"tenant-%06d\", \"quotaPerS\": %d}", i, 10 + i % 90));
        }
        return village.configuration(Files.readString(Path.of("examples/relay.json")), listen)
                .replaceFirst("\"discovery\": \"127[^\"]*\"", "\"discovery\": \"" + discovery + "\"")
                .replaceFirst("\"orgs\": \\[\\{[^\\]]*", orgs.toString())
                .replace("\"sockets\": 1024", "\"sockets\": 16000");
    }

    /** Entries that all lead to the village's endpoints. */
    private static LongListDiscovery list(FakeDeployment village, int size) {
        return new LongListDiscovery(size, i -> entry(village, i, 0));
    }

    private static String entry(FakeDeployment village, int number, int change) {
        return LongListDiscovery.entry(
                number,
                village.address(number % 4),
                number % 2 == 0 ? "east" : "west",
                "svc-" + number / ModulePlay.UNITS_OF_A_SERVICE,
                "in_service",
                change == 0 ? 0 : 1_764_000_000_000L + change,
                1);
    }

    private RelayProcess relay(FakeDeployment village, LongListDiscovery list, String name, int tenants)
            throws IOException {
        int port = RelayProcess.freePorts(1)[0];
        return RelayProcess.start(
                directory, port, configuration(village, "127.0.0.1:" + port, list.address(name), tenants));
    }

    private static long ready(RelayProcess relay) throws IOException, InterruptedException {
        long ms = relay.ready(30_000);
        if (ms < 0) {
            throw new IOException("not ready: " + relay.log());
        }
        return ms;
    }

    // ---- Requests ------------------------------------------------------------------------------------------------

    private void requests() throws Exception {
        List<double[]> cpu = new ArrayList<>();
        try (FakeDeployment village = new FakeDeployment(4, 0);
                LongListDiscovery list = list(village, 4);
                RelayProcess relay = relay(village, list, "r", 1)) {
            ready(relay);
            int[] direct = new int[4];
            Arrays.setAll(direct, i -> Integer.parseInt(village.address(i).split(":")[1]));
            OpenLoop.run(direct, CLIENTS, 1_000, 3);
            OpenLoop.run(new int[] {relay.port}, CLIENTS, 1_000, 3);
            for (int perS : new int[] {100, 300, 1_000}) {
                int seconds = perS < 1_000 ? 5 : 8;
                Histogram without = OpenLoop.run(direct, CLIENTS, perS, seconds).us();
                long beforeUs = relay.cpuUs();
                long fromNs = System.nanoTime();
                OpenLoop.Result with = OpenLoop.run(new int[] {relay.port}, CLIENTS, perS, seconds);
                double spanS = (System.nanoTime() - fromNs) / 1e9;
                cpu.add(point(with.us().getTotalCount() / spanS, (relay.cpuUs() - beforeUs) / spanS));
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("perS", perS);
                row.put("reqs", with.us().getTotalCount());
                row.put("no200", with.other());
                quantiles(row, with.us(), without);
                row.put("relayed", quantiles(new LinkedHashMap<>(), with.us(), new Histogram(3)));
                row.put("direct", quantiles(new LinkedHashMap<>(), without, new Histogram(3)));
                latency.add(row);
                System.out.println(row);
            }
        }
        slope(
                "cpuPerReqUs",
                "processor time of the relay's process for one req served, on real sockets; the "
                        + "intercept is what a second without reqs costs",
                "reqs a second",
                "us",
                cpu,
                "Slopes.reqs: open loop, /proc CPU time of a process with the platform's flags, 4 units listed");
    }

    /** Quantiles of one less those of another. */
    private static Map<String, Object> quantiles(Map<String, Object> row, Histogram us, Histogram less) {
        row.put("p50Us", us.getValueAtPercentile(50) - less.getValueAtPercentile(50));
        row.put("p99Us", us.getValueAtPercentile(99) - less.getValueAtPercentile(99));
        row.put("p999Us", us.getValueAtPercentile(99.9) - less.getValueAtPercentile(99.9));
        row.put("maxUs", us.getMaxValue() - less.getMaxValue());
        return row;
    }

    // ---- The list, in this process ------------------------------------------------------------------------------

    private void endpoints() throws Exception {
        try (ListPlay warm = new ListPlay(2_000, null)) {
            warm.changeUs(300);
        }
        List<double[]> heap = new ArrayList<>();
        List<double[]> change = new ArrayList<>();
        List<double[]> read = new ArrayList<>();
        ClassHistogram least = null;
        ClassHistogram most = null;
        for (int size : UNITS) {
            ClassHistogram before = ClassHistogram.here();
            Object state = state(size);
            ClassHistogram held = ClassHistogram.here().since(before);
            Reference.reachabilityFence(state);
            least = least == null ? held : least;
            most = held;
            heap.add(point(size, held.total()));
        }
        for (int size : UNITS) {
            try (ListPlay play = new ListPlay(size, null)) {
                read.add(point(size, play.readUs()));
                change.add(point(size, play.changeUs(size > 50_000 ? 30 : 100)));
                if (play.list.wholes() > 1) {
                    notes.put("units", "the whole list was read " + play.list.wholes() + " times at " + size);
                }
            }
        }
        slope(
                "heapPerUnit",
                "live heap of what a relay holds of its list, addresses and decisions; no req has gone to "
                        + "a unit yet, and no connection stands",
                "units",
                "bytes",
                heap,
                "Slopes.units: class histogram, Addresses and ReleaseGate");
        slope(
                "cpuPerListChangeUs",
                "processor time of the I/O thread for one change of one entry: a watch's answer "
                        + "read, addresses and decisions told, the next watch asked for; collection of garbage not counted",
                "units",
                "us",
                change,
                "Slopes.units: thread CPU time, real sockets, the bound on lists lifted, one restart after the other, the median");
        slope(
                "cpuPerEntryReadUs",
                "processor time of the I/O thread to read and take in a whole list; collection of "
                        + "garbage not counted",
                "units",
                "us",
                read,
                "Slopes.units: thread CPU time, real sockets, the bound on lists lifted");
        classes(least, most, UNITS[UNITS.length - 1] - UNITS[0]);
    }

    /** What a relay holds of so many endpoints: where each is, and the decisions' view of it. */
    private static Object state(int size) {
        EndpointAddresses addresses = new EndpointAddresses();
        DecisionEngine gate = ModulePlay.gate(new ModulePlay(1), List.of());
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            Endpoint listed = new Endpoint(LongListDiscovery.name(i), 1, i % 2, 0, i % 10, Endpoint.Health.READY, 0);
            addresses.put(new InetSocketAddress("127.0.0.1", 20_000 + i % 20_000), listed);
            list.add(listed);
        }
        gate.start(1_000_000);
        gate.listed(1_000_000, DecisionEngine.ListForm.FULL, list);
        return List.of(addresses, gate);
    }

    private void classes(ClassHistogram least, ClassHistogram most, int endpoints) {
        Map<String, Long> more = most.since(least).bytes();
        more.entrySet().stream()
                .sorted((a, b) -> Long.compare(b.getValue(), a.getValue()))
                .limit(14)
                .forEach(e -> {
                    Map<String, Object> row = new LinkedHashMap<>();
                    row.put("class", e.getKey());
                    row.put("perUnitBytes", round(e.getValue() / (double) endpoints));
                    classes.add(row);
                });
        System.out.println(classes);
    }

    // ---- The module, in this process ---------------------------------------------------------------------------

    private void module() {
        ModulePlay warm = new ModulePlay(1_000);
        warm.requestUs(false, 100_000);
        warm.requestUs(true, 20_000);
        warm.beatUs(300);
        List<double[]> free = new ArrayList<>();
        List<double[]> scoped = new ArrayList<>();
        List<double[]> beat = new ArrayList<>();
        for (int size : new int[] {1_000, 10_000, 50_000, 100_000, 200_000}) {
            ModulePlay play = new ModulePlay(size);
            free.add(point(size, play.requestUs(false, 8_000)));
            beat.add(point(size, play.beatUs(40)));
            scoped.add(point(size, new ModulePlay(size).requestUs(true, 2_000)));
        }
        String how = "Slopes.module: thread CPU time, ReleaseGate alone, ";
        slope(
                "cpuPerReqByUnitsUs",
                "processor time of the module alone for one req, take to end, any unit will do",
                "units",
                "us",
                free,
                how + "4 in flight, 860 a second of its time");
        slope(
                "cpuPerReqScopedPoolUs",
                "the same where Bounds.reaches restricts each req to the 28 units of a service",
                "units",
                "us",
                scoped,
                how + "4 in flight, 860 a second of its time");
        slope(
                "cpuPerBeatUs",
                "processor time of one due(BEAT), four a second, after reqs have gone to units",
                "units",
                "us",
                beat,
                how + "40 beats");
    }

    // ---- Versions of the configuration, in this process ---------------------------------------------------------

    private void versions() {
        version(1_000, 60);
        List<double[]> heap = new ArrayList<>();
        List<double[]> cpu = new ArrayList<>();
        List<double[]> bytes = new ArrayList<>();
        for (int routes : ROUTES) {
            double[] row = version(routes, 3);
            bytes.add(point(routes, row[0]));
            heap.add(point(routes, row[1]));
            cpu.add(point(routes, row[2]));
        }
        slope(
                "heapPerRoute",
                "live heap of a version in force and its text; up to 10 earlier texts or 16 MiB of them "
                        + "are kept beside it",
                "routes",
                "bytes",
                heap,
                "Slopes.versions: class histogram, Admission, Succession");
        slope(
                "cpuPerVersionUs",
                "processor time to read, check, compile and swap one version; collection of garbage " + "not counted",
                "routes",
                "us",
                cpu,
                "Slopes.versions: thread CPU time, 1,000 units listed");
        slope(
                "bytesPerVersion",
                "text of a version as a relay is sent it today, one text for all routes",
                "routes",
                "bytes",
                bytes,
                "Slopes.versions: Samples.version");
    }

    /** Bytes of text, bytes of heap, and processor time in microseconds of one version, the median of some. */
    private static double[] version(int routes, int times) {
        byte[] text = SampleConfigs.version(routes);
        ConfigCompiler compiler = new ConfigCompiler(SampleConfigs.GROUNDS);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            endpoints.add(new Endpoint("u" + i, 1, i % 2, 0, 0, Endpoint.Health.READY, 0));
        }
        Admission admission = new Admission(1);
        admission.listed(1, DecisionEngine.ListForm.FULL, endpoints, Map.of());
        List<Double> us = new ArrayList<>();
        for (int i = 1; i <= times; i++) {
            long fromNs = cpuNs();
            ConfigCompiler.Compiled compiled = compiler.compile(ConfigVersion.Epoch.NONE, i, text);
            admission.beside(i + 1, compiled.plan());
            admission.follow(i + 1, compiled.plan());
            us.add((cpuNs() - fromNs) / 1e3);
        }
        ClassHistogram before = ClassHistogram.here();
        Admission held = new Admission(1);
        VersionTracker succession = new VersionTracker(10);
        byte[] own = text.clone();
        ConfigCompiler.Compiled compiled = compiler.compile(ConfigVersion.Epoch.NONE, 1, own);
        held.follow(1, compiled.plan());
        succession.good(1, compiled.plan(), "measured", own);
        long bytes = ClassHistogram.here().since(before).total();
        Reference.reachabilityFence(List.of(admission, held, succession, text));
        return new double[] {
            text.length, bytes, us.stream().sorted().skip(times / 2).findFirst().orElseThrow()
        };
    }

    private static long cpuNs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    // ---- Bytes of the list ----------------------------------------------------------------------------------------

    private void bytes() throws Exception {
        List<double[]> whole = new ArrayList<>();
        for (int size : REAL_ENTRIES) {
            try (LongListDiscovery list = new LongListDiscovery(size, i -> ListPlay.entry(i, 0));
                    Socket socket = connect(list)) {
                whole.add(point(size, call(socket, "")));
            }
        }
        List<double[]> changes = new ArrayList<>();
        List<double[]> holds = new ArrayList<>();
        try (LongListDiscovery list = new LongListDiscovery(10_000, i -> ListPlay.entry(i, 0));
                Socket socket = connect(list)) {
            for (int howMany : new int[] {1, 10, 100}) {
                long changed = 0;
                long empty = 0;
                for (int i = 0; i < howMany; i++) {
                    long from = list.index();
                    empty += call(socket, "?from=" + from + "&hold_ms=0");
                    list.change(i, ListPlay.entry(i, i + 1));
                    changed += call(socket, "?from=" + from + "&hold_ms=2000");
                }
                changes.add(point(howMany, changed));
                holds.add(point(howMany, empty));
            }
        }
        String how = "Slopes.bytes: bodies and heads of call and answer on a socket, as the stand-in writes them";
        slope("bytesPerEntry", "a whole list, the call for it included", "units", "bytes", whole, how);
        slope("bytesPerChange", "a watch answered with one entry, its call included", "changes", "bytes", changes, how);
        slope(
                "bytesPerEmptyWatch",
                "a watch answered with none after its hold of 2 s, its call included",
                "watches",
                "bytes",
                holds,
                how);
    }

    private static Socket connect(LongListDiscovery list) throws IOException {
        return OpenLoop.open(Integer.parseInt(list.address("r").split(":")[1]));
    }

    private static long call(Socket socket, String query) throws IOException {
        String call = "GET /api/targets" + query + " HTTP/1.1\r\nHost: discovery\r\n\r\n";
        return call.length() + OpenLoop.call(socket, call).bytes();
    }

    // ---- Heap of a process ------------------------------------------------------------------------------------------

    private void tenants() throws Exception {
        List<double[]> heap = new ArrayList<>();
        for (int tenants : new int[] {1_000, 5_000, 10_000, 20_000}) {
            try (FakeDeployment village = new FakeDeployment(4, 0);
                    LongListDiscovery list = list(village, 4);
                    RelayProcess relay = relay(village, list, "r", tenants)) {
                ready(relay);
                heap.add(point(
                        tenants,
                        ClassHistogram.read(relay.jcmd("GC.class_histogram")).total()));
            }
        }
        slope(
                "heapPerTenant",
                "live heap of a relay's process by tenants in its settings, idle",
                "tenants",
                "bytes",
                heap,
                "Slopes.tenants: jcmd GC.class_histogram, a process with the platform's flags each");
    }

    private void connections() throws Exception {
        List<double[]> heap = new ArrayList<>();
        List<double[]> resident = new ArrayList<>();
        List<Socket> sockets = new ArrayList<>();
        try (FakeDeployment village = new FakeDeployment(4, 0);
                LongListDiscovery list = list(village, 4);
                RelayProcess relay = relay(village, list, "r", 1)) {
            ready(relay);
            for (int target : new int[] {100, 500, 1_000, 2_000}) {
                while (sockets.size() < target) {
                    Socket socket = OpenLoop.open(relay.port);
                    sockets.add(socket);
                    if (OpenLoop.ask(socket, "c" + sockets.size()) != 200) {
                        throw new IOException("a req got no 200 on connection " + sockets.size());
                    }
                }
                heap.add(point(
                        target,
                        ClassHistogram.read(relay.jcmd("GC.class_histogram")).total()));
                resident.add(point(target, relay.residentMb() * MB));
            }
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
        slope(
                "heapPerConnection",
                "live heap of a client's connection that stands idle after a req",
                "connections",
                "bytes",
                heap,
                "Slopes.connections: jcmd GC.class_histogram, one process with the platform's flags");
        slope(
                "residentPerConnection",
                "resident memory of the process by the same; the young generation fills " + "beside it",
                "connections",
                "bytes",
                resident,
                "Slopes.connections: VmRSS");
    }

    // ---- Real relays on long lists ------------------------------------------------------------------------------

    private void real() throws Exception {
        List<double[]> starts = new ArrayList<>();
        for (int size : new int[] {1_000, 2_500, 5_000, 10_000}) {
            List<Long> ms = new ArrayList<>();
            try (FakeDeployment village = new FakeDeployment(4, 0);
                    LongListDiscovery list = list(village, size)) {
                for (int i = 0; i < 3; i++) {
                    try (RelayProcess relay = relay(village, list, "r" + i, 1)) {
                        ms.add(ready(relay));
                        if (list.await(1, i + 1, 100).size() <= i) {
                            throw new IOException("a list of " + size + " was not taken: " + relay.log());
                        }
                    }
                }
            }
            starts.add(point(size, ms.stream().sorted().skip(1).findFirst().orElseThrow()));
        }
        slope(
                "startPerEntry",
                "from a process's start to its first 200 on /-/ready, the median of three",
                "units",
                "ms",
                starts,
                "Slopes.real: processes with the platform's flags, rehearsal included");
        for (int size : REAL_ENTRIES) {
            real.add(real(size));
            System.out.println(real.get(real.size() - 1));
        }
    }

    private Map<String, Object> real(int size) throws Exception {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("entries", size);
        try (FakeDeployment village = new FakeDeployment(4, 0);
                LongListDiscovery list = list(village, size);
                RelayProcess relay = relay(village, list, "r", 1)) {
            long readyMs = relay.ready(30_000);
            boolean taken = !list.await(1, 1, 1_000).isEmpty();
            row.put("taken", taken);
            row.put("readyS", readyMs < 0 ? null : readyMs / 1e3);
            if (readyMs >= 0) {
                OpenLoop.Result served = OpenLoop.run(new int[] {relay.port}, CLIENTS, 200, 4);
                row.put("served", served.us().getTotalCount());
                row.put("no200", served.other());
                long fromNs = System.nanoTime();
                long index = list.change(7, entry(village, 7, 1));
                Map<String, Long> held = taken ? list.await(index, 1, 5_000) : Map.of();
                row.put("heardAllMs", held.isEmpty() ? null : round((held.get("r") - fromNs) / 1e6));
            }
            long beforeUs = relay.cpuUs();
            TimeUnit.SECONDS.sleep(3);
            row.put("idleCpuShare", round((relay.cpuUs() - beforeUs) / 3e6));
            row.put("residentMb", round(relay.residentMb()));
            row.put("cpuS", round(relay.cpuUs() / 1e6));
            row.put(
                    "liveHeapMb",
                    round(ClassHistogram.read(relay.jcmd("GC.class_histogram")).total() / (double) MB));
            row.put("oldHeapMb", round(relay.oldHeapMb()));
            row.put("wholeLists", list.wholes());
            row.put("brokenOff", list.brokenOff());
            row.put(
                    "log",
                    relay.log()
                            .lines()
                            .filter(l -> l.contains("discovery"))
                            .findFirst()
                            .orElse(""));
        }
        return row;
    }

    /** Some tens of relays on one list: how long until each has a change, and what each holds. */
    private void many() throws Exception {
        List<RelayProcess> relays = new ArrayList<>();
        try (FakeDeployment village = new FakeDeployment(4, 0);
                LongListDiscovery list = list(village, 1_000)) {
            for (int i = 0; i < MANY; i++) {
                relays.add(relay(village, list, "r" + i, 1));
                if (i % 8 == 7) {
                    for (RelayProcess relay : relays.subList(i - 7, i + 1)) {
                        ready(relay);
                    }
                }
            }
            Map<String, Long> first = list.await(1, MANY, 10_000);
            long[] beforeUs = relays.stream().mapToLong(RelayProcess::cpuUs).toArray();
            long spanNs = System.nanoTime();
            TimeUnit.SECONDS.sleep(4);
            double idleS = (System.nanoTime() - spanNs) / 1e9;
            long idleUs = 0;
            for (int i = 0; i < MANY; i++) {
                idleUs += relays.get(i).cpuUs() - beforeUs[i];
            }
            Histogram each = new Histogram(3);
            Histogram last = new Histogram(3);
            int changes = 20;
            for (int i = 1; i <= changes; i++) {
                long fromNs = System.nanoTime();
                Map<String, Long> held = list.await(list.change(i, entry(village, i, i)), MANY, 10_000);
                if (held.size() < MANY) {
                    notes.put("many", "change " + i + " reached " + held.size() + " of " + MANY + " relays in 10 s");
                }
                held.values().forEach(ns -> each.recordValue((ns - fromNs) / 1_000));
                last.recordValue(
                        (held.values().stream().mapToLong(Long::longValue).max().orElseThrow() - fromNs) / 1_000);
                TimeUnit.MILLISECONDS.sleep(100);
            }
            TreeMap<Double, Integer> resident = new TreeMap<>();
            for (RelayProcess relay : relays) {
                resident.merge(round(relay.residentMb()), 1, Integer::sum);
            }
            many.put("relays", MANY);
            many.put("entries", 1_000);
            many.put("heardFirstList", first.size());
            many.put("changes", changes);
            many.put("heardP50Ms", each.getValueAtPercentile(50) / 1e3);
            many.put("heardP99Ms", each.getValueAtPercentile(99) / 1e3);
            many.put("heardLastMs", each.getMaxValue() / 1e3);
            many.put("lastOfAChangeP50Ms", last.getValueAtPercentile(50) / 1e3);
            many.put("residentMbLeast", resident.firstKey());
            many.put("residentMbMost", resident.lastKey());
            many.put("idleCpuShareOfEach", round(idleUs / 1e6 / idleS / MANY));
            many.put("bytesOut", list.bytesOut());
            System.out.println(many);
        } finally {
            for (RelayProcess relay : relays) {
                relay.close();
            }
        }
    }
}
