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

import java.io.IOException;
import java.util.SplittableRandom;

/** The stages of a req put together around one set of decisions. */
final class Chain {
    final Addresses addresses = new Addresses();
    final OpenReqs open = new OpenReqs();
    final Lines units;
    final Orders orders;
    final Gate gate;
    final TakeIn takeIn;
    private final Turn turn;
    private final Configuration told;
    private final Desk desk;
    private final Discovery discovery;

    /** @param live whether it speaks with discovery and the release desk */
    Chain(Configuration told, Turn turn, Counters counters, Front front, boolean live) {
        this.told = told;
        this.turn = turn;
        // An idle connection is closed well before the unit would, so that no req crosses its end.
        units = new Lines(turn, counters, told.us("limits.dialTimeoutNs"),
            told.us("limits.connIdleNs") * 3 / 4, told.sockets() / 8);
        Lines platform = live ? new Lines(turn, counters, 1_000_000, 4_000_000, 8) : null;
        RelayBack relayBack = new RelayBack(turn, open, counters);
        Book book = new Book(turn, open, counters, relayBack);
        RouteOut routeOut = new RouteOut(addresses, new SendOff(turn, units, book));
        desk = live ? new Desk(turn, counters, platform, told.desk(), told.charter().rollout().voteWaitUs())
            : null;
        discovery = live ? new Discovery(turn, counters, platform, told.discovery(), addresses, units,
            told.plain("zones"), told.plain("flavors"), told.charter().mustAskForList(),
            new SplittableRandom(told.charter().seed() + 1)) : null;
        orders = new Orders(turn, open);
        gate = new ReleaseGate(told.charter(), orders);
        orders.bind(gate, routeOut, relayBack, book, desk, discovery);
        takeIn = new TakeIn(counters, new TakeIn.Names(told.numbered("lanes"), told.numbered("orgs"),
            told.charter().routes(), told.eachUs("lanes", "deadlineNs")), turn,
            new Admit(turn, open, counters, book, gate), front);
    }

    /** Begins from what the configuration holds, and follows discovery and the desk from there. */
    void start() throws IOException {
        gate.start(turn.nowUs());
        discovery.start(gate, told.known());
        desk.start(gate, told.news());
    }
}
