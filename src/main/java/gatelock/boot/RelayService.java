package gatelock.boot;

import gatelock.discovery.DiscoveryClient;
import gatelock.http.ClientListener;
import gatelock.net.EventLoop;
import gatelock.session.Sessions;
import gatelock.state.Counters;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.function.UnaryOperator;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** One running relay: puts the parts together on one I/O thread, starts them, and takes leave on SIGTERM. */
final class RelayService {
    private static final System.Logger LOG = System.getLogger("gatelock.boot");
    /**
     * After SIGTERM the platform leaves a relay alive for its longest deadline, or this where that is longer,
     * and
     * for a while on top, in which front and clients hear of it.
     */
    private static final long LONGEST_COUNTED_US = 3_000_000;

    private static final long ON_TOP_US = 700_000;
    private static final long SESSIONS_CLOSE_US = 1_400_000;
    private static final long SESSIONS_LOOK_US = 20_000;
    /**
     * Guards against a list from before a restart: what discovery has told since counts as told to a new process,
     * and requests sent by the old list go to endpoints that left. Only after so long without a word, at the end of a call
     * that had all of its time, is discovery taken to be down, and what is known serves. Could harm where it is
     * down: each start is later by this, well within what a start may take.
     */
    private static final long LIST_SILENT_US = 2_000_000;

    private static final long LOOK_EVERY_US = 1_000_000;
    private static final long COUNTERS_EVERY_US = 60_000_000;
    private static final long STACK_BYTES = 256 * 1024;

    private final Path file;
    private final Start how;
    private final EventLoop turn;
    private final Counters counters = new Counters();
    private final Path operatorsFile;
    private final OperatorConfig operator;
    private RelayConfig told;
    private ClientListener front;
    private RequestPipeline chain;
    private ControlPlane steering;
    private Sessions sessions;
    private long lookedUs = Long.MIN_VALUE / 2;

    /** With a rehearsal, without, or nothing but one on a free port. */
    enum Start {
        REHEARSED,
        COLD,
        REHEARSAL_ONLY
    }

    private RelayService(
            Path file, RelayConfig told, Path operatorsFile, OperatorConfig operator, Start how, EventLoop turn) {
        this.file = file;
        this.operatorsFile = operatorsFile;
        this.operator = operator;
        this.told = told;
        this.how = how;
        this.turn = turn;
    }

    /** @param operator what the operator's own file says, or null: all that it could name is off */
    static void start(
            Path file, RelayConfig told, Path operatorsFile, OperatorConfig operator, Start how, SighupHandler hangup)
            throws IOException {
        if (operator != null && (operator.jsonLog() || operator.logLevel() != null)) {
            LogbackHandler.through(operator.jsonLog(), operator.logLevel());
        }
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.STACK_SIZE, STACK_BYTES)
                        .set(Options.WORKER_NAME, "gatelock")
                        .getMap());
        RelayService service =
                new RelayService(file, told, operatorsFile, operator, how, new EventLoop(worker.getIoThread()));
        // Before it can be told to leave, as whoever leaves must have begun.
        service.turn.soon(service::run);
        CountDownLatch left = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            service.turn.soon(() -> service.leave(left::countDown));
                            try {
                                left.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                            LOG.log(Level.INFO, "ends: " + service.counters);
                        },
                        "leave"));
        // A file is read on the worker's one task thread: one after the other, and never in the way of requests.
        hangup.means(() -> worker.execute(service::readAnew));
    }

    private void leave(Runnable then) {
        if (steering != null) {
            steering.stop();
        }
        long longestUs =
                told.deadlinesUs().stream().mapToLong(Long::longValue).max().orElse(0);
        long killedUs = Math.min(longestUs, LONGEST_COUNTED_US) + ON_TOP_US;
        if (sessions != null) {
            // The last ones are told early enough to close in turn.
            sessions.leave(turn.nowUs(), turn.nowUs() + killedUs - SESSIONS_CLOSE_US);
        }
        front.leave(killedUs, () -> whenNoSession(then));
    }

    private void whenNoSession(Runnable then) {
        if (sessions == null || sessions.size() == 0) {
            then.run();
        } else {
            turn.in(SESSIONS_LOOK_US, () -> whenNoSession(then));
        }
    }

    private void readAnew() {
        try {
            RelayConfig now = RelayConfig.read(file);
            OperatorConfig operatorNow = operator == null ? null : OperatorConfig.read(operatorsFile, now);
            turn.soon(() -> move("SIGHUP", now, operatorNow));
        } catch (IOException e) {
            LOG.log(Level.WARNING, "SIGHUP, what was in force stays: " + e.getMessage());
        }
    }

    /**
     * Discovery has failed: its address may have moved. Guards against a SIGHUP that never came or came to nobody:
     * a process that leaves or has just begun, one that was lost on its way. Could harm where a file is changed
     * well before its SIGHUP: then it may be followed sooner.
     */
    private void lookAgain() {
        if (turn.nowUs() - lookedUs < LOOK_EVERY_US) {
            return;
        }
        lookedUs = turn.nowUs();
        turn.aside(
                () -> {
                    try {
                        return RelayConfig.read(file);
                    } catch (IOException e) {
                        LOG.log(Level.DEBUG, "discovery fails, and so does the configuration: " + e.getMessage());
                        return null;
                    }
                },
                null,
                now -> {
                    if (now != null && !now.discovery().equals(told.discovery())) {
                        counters.add("moves found without SIGHUP");
                        move("discovery failed", now, null);
                    }
                });
    }

    private void move(String why, RelayConfig now, OperatorConfig operatorNow) {
        LOG.log(
                Level.INFO,
                why + ", discovery at " + now.discovery() + ", release desk at " + now.controller()
                        + (told.sameTerms(now) ? "" : "; name, listen, limits and settings stay until a restart"));
        told = told.movedTo(now);
        if (chain != null) {
            chain.move(told);
        }
        if (steering != null && operatorNow != null) {
            steering.move(operatorNow);
        }
        if (operatorNow != null
                && !(operator.membership() == null
                        ? operatorNow.membership() == null
                        : operator.membership().same(operatorNow.membership()))) {
            LOG.log(Level.WARNING, "membership stays as it was until a restart");
        }
    }

    private void run() {
        try {
            front = new ClientListener(turn, counters, told.sockets() / 4, told.sockets() * 2 / 5);
            switch (how) {
                case COLD -> {
                    front.listen(told.listen());
                    prepare();
                    front.admit(chain.takeIn, false);
                    chain.whenListed(LIST_SILENT_US, () -> serve(real -> real));
                }
                case REHEARSED -> {
                    InetSocketAddress at = front.listen(told.listen());
                    // The list and the news are asked for at once, and known when the rehearsal ends.
                    prepare();
                    new StartupWarmUp(told, at, turn, front, chain.takeIn, rehearsal -> {
                                front.admit(rehearsal.before(chain.takeIn), false);
                                chain.whenListed(LIST_SILENT_US, () -> serve(rehearsal::before));
                            })
                            .begin();
                }
                case REHEARSAL_ONLY -> {
                    InetSocketAddress free = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
                    InetSocketAddress at = front.listen(free);
                    new StartupWarmUp(
                                    told,
                                    at,
                                    turn,
                                    front,
                                    stranger -> stranger.setStatusCode(503),
                                    rehearsal -> new Thread(() -> System.exit(0)).start())
                            .begin();
                }
            }
        } catch (IOException e) {
            give(e);
        }
    }

    /** Puts the real chain together and begins to follow discovery and the release controller. */
    private void prepare() throws IOException {
        steering = operator == null || operator.control() == null
                ? null
                : new ControlPlane(operator, told, turn, counters);
        OperatorConfig.Sessions asked = operator == null || steering == null ? null : operator.sessions();
        int mostSessions =
                asked == null ? 0 : asked.most() > 0 ? Math.min(asked.most(), told.sockets() / 5) : told.sockets() / 10;
        sessions = asked == null
                ? null
                : new Sessions(
                        mostSessions,
                        asked.opensPerEndpoint(),
                        asked.drainUs(),
                        new SplittableRandom(told.charter().seed() + 3));
        chain = new RequestPipeline(
                told,
                turn,
                counters,
                front,
                steering == null ? null : steering.admission,
                sessions,
                operator == null ? null : operator.membership());
        chain.start();
        if (steering != null) {
            steering.shows(chain::listState);
        }
        chain.whenFailed(this::lookAgain);
    }

    private void serve(UnaryOperator<HttpHandler> before) {
        HttpHandler takeIn = before.apply(chain.takeIn);
        front.admit(takeIn, steering == null);
        int early = chain.open();
        if (early > 0) {
            LOG.log(Level.INFO, "held until ready: " + early + " reqs");
        }
        try {
            if (steering != null) {
                steering.start(() -> front.admit(takeIn, true));
            }
        } catch (IOException e) {
            give(e);
        }
        LOG.log(Level.INFO, told.name() + " serves on " + told.listen());
        turn.in(COUNTERS_EVERY_US, this::tellCounters);
    }

    private void give(IOException e) {
        System.err.println("gatelock: " + e.getMessage());
        Runtime.getRuntime().halt(2);
    }

    /** How the list stands, where a scope is taken from it. */
    private String listed() {
        DiscoveryClient.State list = chain.listState();
        return list.scoped()
                ? "; " + list + ", last change " + (turn.nowUs() - list.changedUs()) / 1_000_000 + " s ago"
                : "";
    }

    private void tellCounters() {
        LOG.log(
                Level.INFO,
                counters + "; open reqs " + chain.open.size() + ", clients " + front.size()
                        + ", units "
                        + chain.endpoints + listed());
        turn.in(COUNTERS_EVERY_US, this::tellCounters);
    }
}
