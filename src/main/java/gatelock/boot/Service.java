package gatelock.boot;

import gatelock.decision.ReleaseGate;
import gatelock.kept.Addresses;
import gatelock.kept.Counters;
import gatelock.kept.OpenReqs;
import gatelock.relay.Gate;
import gatelock.wire.Admit;
import gatelock.wire.Book;
import gatelock.wire.Desk;
import gatelock.wire.Discovery;
import gatelock.wire.Front;
import gatelock.wire.Lines;
import gatelock.wire.Orders;
import gatelock.wire.RelayBack;
import gatelock.wire.RouteOut;
import gatelock.wire.SendOff;
import gatelock.wire.TakeIn;
import gatelock.wire.Turn;

import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;

/** One running relay: puts the parts together on one I/O thread, starts them, and takes leave on SIGTERM. */
final class Service {
    private static final System.Logger LOG = System.getLogger("gatelock.boot");
    private static final long STILL_COMING_US = 600_000;
    private static final long COUNTERS_EVERY_US = 60_000_000;
    private static final long STACK_BYTES = 256 * 1024;

    private final Configuration told;
    private final Turn turn;
    private final Counters counters = new Counters();
    private final OpenReqs open = new OpenReqs();
    private Front front;

    private Service(Configuration told, Turn turn) {
        this.told = told;
        this.turn = turn;
    }

    static void start(Configuration told) throws IOException {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 1)
            .set(Options.WORKER_TASK_CORE_THREADS, 1).set(Options.WORKER_TASK_MAX_THREADS, 1)
            .set(Options.STACK_SIZE, STACK_BYTES).set(Options.WORKER_NAME, "gatelock").getMap());
        Service service = new Service(told, new Turn(worker.getIoThread()));
        CountDownLatch left = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            service.turn.soon(() -> service.front.leave(STILL_COMING_US, left::countDown));
            try {
                left.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            LOG.log(Level.INFO, "ends: " + service.counters);
        }, "leave"));
        service.turn.soon(service::run);
    }

    private void run() {
        try {
            assemble();
        } catch (IOException e) {
            System.err.println("gatelock: " + e.getMessage());
            Runtime.getRuntime().halt(2);
        }
    }

    private void assemble() throws IOException {
        long dialUs = told.us("limits.dialTimeoutNs");
        Addresses addresses = new Addresses();
        // An idle connection is closed well before the unit would, so that no req crosses its end.
        Lines units = new Lines(turn, counters, dialUs, told.us("limits.connIdleNs") * 3 / 4, told.sockets() / 8);
        Lines platform = new Lines(turn, counters, 1_000_000, 4_000_000, 8);
        RelayBack relayBack = new RelayBack(turn, open, counters);
        Book book = new Book(turn, open, counters, relayBack);
        RouteOut routeOut = new RouteOut(addresses, new SendOff(turn, units, book));
        Desk desk = new Desk(turn, counters, platform, told.desk(), told.charter().rollout().voteWaitUs());
        Discovery discovery = new Discovery(turn, counters, platform, told.discovery(), addresses, units,
            told.plain("zones"), told.plain("flavors"), told.charter().mustAskForList(),
            new SplittableRandom(told.charter().seed() + 1));
        Orders orders = new Orders(turn, open);
        Gate gate = new ReleaseGate(told.charter(), orders);
        orders.bind(gate, routeOut, relayBack, book, desk, discovery);
        front = new Front(turn, open, counters, told.sockets() * 5 / 8);
        TakeIn takeIn = new TakeIn(turn, counters, new TakeIn.Names(told.numbered("lanes"),
            told.numbered("orgs"), told.charter().routes(), told.eachUs("lanes", "deadlineNs")),
            new Admit(turn, open, counters, book, gate), front);

        gate.start(turn.nowUs());
        discovery.start(gate, told.known());
        desk.start(gate, told.news());
        front.listen(told.listen(), takeIn);
        front.admitting();
        LOG.log(Level.INFO, told.name() + " serves on " + told.listen());
        turn.in(COUNTERS_EVERY_US, this::tellCounters);
    }

    private void tellCounters() {
        LOG.log(Level.INFO, "" + counters);
        turn.in(COUNTERS_EVERY_US, this::tellCounters);
    }
}
