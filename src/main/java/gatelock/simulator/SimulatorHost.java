package gatelock.simulator;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionActions;
import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.api.LoadReport;
import gatelock.api.RequestHandle;
import gatelock.api.Verdict;
import gatelock.decision.ReleaseGate;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Hosts many relays on the simulator's lines: standard input to standard output, a reply for each batch. */
public final class SimulatorHost {

    private static final Map<String, AttemptResult> ENDINGS = Map.of(
            "done",
            AttemptResult.COMPLETED,
            "err",
            AttemptResult.ERRORED,
            "busy",
            AttemptResult.TURNED_AWAY,
            "etimedout",
            AttemptResult.TIMED_OUT,
            "econnrefused",
            AttemptResult.NOT_CONNECTED,
            "econnreset",
            AttemptResult.BROKEN_OFF,
            "ecanceled",
            AttemptResult.CANCELLED,
            "skipped",
            AttemptResult.NOT_SENT);
    private static final Map<String, DecisionEngine.VoteAnswer> ANSWERS = Map.of(
            "done",
            DecisionEngine.VoteAnswer.COUNTED,
            "skipped",
            DecisionEngine.VoteAnswer.MOOT,
            "busy",
            DecisionEngine.VoteAnswer.BUSY,
            "err",
            DecisionEngine.VoteAnswer.ERROR,
            "etimedout",
            DecisionEngine.VoteAnswer.TIMED_OUT);
    private static final DecisionEngine.Phase[] PHASES = {
        DecisionEngine.Phase.TRIAL,
        DecisionEngine.Phase.REVERTING,
        DecisionEngine.Phase.RELEASED,
        DecisionEngine.Phase.WITHDRAWN
    };
    private static final Endpoint.Health[] HEALTH = {
        Endpoint.Health.GONE, Endpoint.Health.READY, Endpoint.Health.DRAINING
    };
    private static final DecisionEngine.ListForm[] FORMS = {
        DecisionEngine.ListForm.FAILED,
        DecisionEngine.ListForm.FULL,
        DecisionEngine.ListForm.CACHED,
        DecisionEngine.ListForm.DELTA
    };

    private final BufferedReader in;
    private final OutputStream out;
    private final StringBuilder reply = new StringBuilder(1 << 16);
    private final Map<Integer, Relay> relays = new HashMap<>();
    private final List<List<Endpoint>> lists = new ArrayList<>();
    private long lineNo;
    private long nowUs;
    private int writingFor = -1;

    /** One hosted relay: its decisions, the requests it holds, and its voice on the wire. */
    private final class Relay implements DecisionActions {
        private final int number;
        private final Map<String, RequestHandle> held = new HashMap<>();
        private DecisionEngine gate;

        Relay(int number) {
            this.number = number;
        }

        private StringBuilder line(String name) {
            if (writingFor != number) {
                reply.append("AT ").append(number).append('\n');
                writingFor = number;
            }
            return reply.append(name);
        }

        @Override
        public void send(String id, String endpoint, long timeoutUs) {
            line("RELAY ")
                    .append(id)
                    .append(' ')
                    .append(endpoint)
                    .append(' ')
                    .append(timeoutUs * 1000)
                    .append('\n');
        }

        @Override
        public void shed(String id, long pauseUs) {
            line("SAY_NO ").append(id).append(' ').append(pauseUs * 1000).append('\n');
        }

        @Override
        public void error(String id) {
            line("DROP_REQUEST ").append(id).append('\n');
        }

        @Override
        public void cancel(String id, int attemptNo) {
            line("RETRACT ").append(id).append(' ').append(attemptNo).append('\n');
        }

        @Override
        public void vote(int build, int stage, Verdict verdict) {
            line("BALLOT ")
                    .append(build)
                    .append(' ')
                    .append(stage)
                    .append(' ')
                    .append(verdict.ordinal())
                    .append('\n');
        }

        @Override
        public void timer(long inUs, long token) {
            line("SET_TIMER ").append(inUs * 1000).append(' ').append(token).append('\n');
        }

        @Override
        public void followList() {
            line("TAIL 1\n");
        }

        @Override
        public void say(String text) {
            line("EMIT ").append(text).append('\n');
        }

        private RequestHandle handle(String id) {
            return held.get(id);
        }

        private void forgetIfSettled(String id, RequestHandle handle) {
            if (handle.settled()) {
                held.remove(id);
            }
        }
    }

    private SimulatorHost(InputStream in, OutputStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
        for (int i = 0; i < 16; i++) {
            lists.add(List.of());
        }
    }

    /** Runs until the input ends; malformed input ends the process with a message and status 2. */
    public static void main(String[] args) throws IOException {
        SimulatorHost host = new SimulatorHost(System.in, System.out);
        try {
            host.run();
        } catch (MalformedLineException e) {
            System.err.println("gatelock: line " + host.lineNo + ": " + e.getMessage());
            System.exit(2);
        } catch (IndexOutOfBoundsException e) {
            System.err.println("gatelock: line " + host.lineNo
                    + ": expected a number that the settings or earlier lines name, " + e.getMessage());
            System.exit(2);
        }
    }

    private void run() throws IOException {
        for (String line = next(); line != null; line = next()) {
            FieldReader mark = new FieldReader(line);
            if (!mark.name().equals("MARK")) {
                throw new MalformedLineException("expected MARK, found " + mark.name());
            }
            nowUs = mark.number("clock") / 1000;
            writingFor = -1;
            batch();
            reply.append("ACK\n");
            out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
            reply.setLength(0);
        }
    }

    private String next() throws IOException {
        lineNo++;
        return in.readLine();
    }

    private void batch() throws IOException {
        Relay relay = null;
        for (String line = next(); ; line = next()) {
            if (line == null) {
                throw new MalformedLineException("expected EOB, found the end of the input");
            }
            FieldReader f = new FieldReader(line);
            switch (f.name()) {
                case "EOB" -> {
                    return;
                }
                case "CONTEXT" -> relay = relays.computeIfAbsent((int) f.number("instance"), Relay::new);
                case "MANIFEST" -> manifest(f);
                default -> {
                    if (relay == null) {
                        throw new MalformedLineException("expected CONTEXT before " + f.name());
                    }
                    event(relay, f);
                }
            }
        }
    }

    private void manifest(FieldReader f) throws IOException {
        int number = (int) f.number("list");
        int count = (int) f.number("elements");
        if (number < 0 || number >= lists.size() || count < 0) {
            throw new MalformedLineException("expected a list number from 0 to 15 and a count");
        }
        List<Endpoint> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            String line = next();
            FieldReader m = new FieldReader(line == null ? "" : line);
            if (!m.name().equals("M")) {
                throw new MalformedLineException("expected M, found " + m.name());
            }
            int build = (int) m.number("ver");
            String endpoint = m.text("unit");
            int zone = (int) m.numberOr(0);
            int kind = (int) m.numberOr(0);
            int cell = (int) m.numberOr(0);
            Endpoint.Health health = HEALTH[m.code("health", HEALTH.length)];
            m.realOr(1); // the weight, which steers nothing
            entries.add(new Endpoint(endpoint, build, zone, kind, cell, health, m.numberOr(0) / 1000));
        }
        lists.set(number, entries);
    }

    private void event(Relay relay, FieldReader f) {
        if (f.name().equals("POWER_ON")) {
            long seed = f.number("entropy");
            relay.held.clear();
            relay.gate = new ReleaseGate(SettingsDecoder.read(seed, SettingsDecoder.pairs(f.rest())), relay);
            relay.gate.start(nowUs);
            return;
        }
        if (f.name().equals("STOP")) {
            relay.gate = null;
            relay.held.clear();
            return;
        }
        if (relay.gate == null) {
            throw new MalformedLineException(f.name() + " for an instance that has not started");
        }
        switch (f.name()) {
            case "INBOUND" -> inbound(relay, f);
            case "REPORT_BACK" -> reportBack(relay, f);
            case "ELAPSED" -> relay.gate.due(nowUs, f.number("nonce"));
            case "SYNC" -> {
                f.number("seqNo");
                DecisionEngine.ListForm form = FORMS[f.code("form", FORMS.length)];
                List<Endpoint> entries =
                        form == DecisionEngine.ListForm.FAILED ? List.of() : lists.get(f.code("list", lists.size()));
                relay.gate.listed(nowUs, form, entries);
            }
            case "STAGE" -> {
                int stage = (int) f.numberOr(0);
                double cap = f.realOr(0);
                long agoUs = f.numberOr(0) / 1000;
                boolean asked = f.numberOr(0) == 1;
                DecisionEngine.Phase phase = PHASES[f.codeOr(0, "phase", PHASES.length)];
                DecisionEngine.VoteAnswer answer = f.oneOf(ANSWERS, "result");
                relay.gate.news(
                        nowUs,
                        (int) f.numberOr(0),
                        stage,
                        phase,
                        cap,
                        agoUs,
                        asked || answer != DecisionEngine.VoteAnswer.COUNTED
                                ? answer
                                : DecisionEngine.VoteAnswer.NOT_ASKED);
            }
            case "COMPLAINT" -> {
                String endpoint = f.text("unit");
                int route = (int) f.number("service");
                relay.gate.complaint(nowUs, endpoint, route, f.number("behindNs") / 1000);
            }
            case "ABANDONED", "HEAD_RECEIVED" -> {
                String id = f.text("msgId");
                RequestHandle handle = relay.handle(id);
                if (handle != null) {
                    handle.concluded(nowUs);
                    relay.forgetIfSettled(id, handle);
                }
            }
            case "SCORECARD" -> {
                int failed = (int) f.numberOr(0);
                long meanUs = f.numberOr(0) / 1000;
                long agoUs = f.numberOr(0) / 1000;
                int build = (int) f.number("rel");
                int count = (int) f.numberOr(0);
                relay.gate.counted(nowUs, build, (int) f.number("service"), count, failed, meanUs, agoUs);
            }
            case "MAIL", "CHECKED" -> {}
            default -> throw new MalformedLineException("expected an event, found " + f.name());
        }
    }

    private void inbound(Relay relay, FieldReader f) {
        String id = f.text("msgId");
        int route = (int) f.number("service");
        int tenant = (int) f.numberOr(0);
        long key = f.numberOr(DecisionEngine.NO_KEY);
        long leftUs = SettingsDecoder.atLeastOne(f.number("expiresInNs"));
        long costNs = f.numberOr(0);
        boolean costHolds = (f.numberOr(0) & 1) != 0;
        relay.held.put(
                id,
                relay.gate.take(
                        nowUs, id, route, tenant, key, leftUs, costHolds ? SettingsDecoder.atLeastOne(costNs) : 0));
        relay.forgetIfSettled(id, relay.held.get(id));
    }

    private void reportBack(Relay relay, FieldReader f) {
        String id = f.text("msgId");
        int attemptNo = (int) f.number("hop");
        f.text("unit");
        AttemptResult ending = f.oneOf(ENDINGS, "result");
        long tookUs = f.number("durationNs") / 1000;
        boolean over = f.number("over") == 1;
        LoadReport load = f.load();
        RequestHandle handle = relay.handle(id);
        if (handle != null) {
            handle.ended(nowUs, attemptNo, ending, tookUs, over, load);
            relay.forgetIfSettled(id, handle);
        }
    }
}
