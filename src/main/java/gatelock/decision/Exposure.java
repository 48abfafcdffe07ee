package gatelock.decision;

import java.util.Arrays;

/** Rule 5's count for one build, by slot where each route has its own: tries that it may still get. */
final class Exposure {
    private final double free;
    private final double[] room;

    Exposure(int slots, double free) {
        this.free = free;
        this.room = new double[slots];
        Arrays.fill(room, free);
    }

    /** Holds for any window: room never exceeds 'free', so none opens after the reqs that earned it. */
    void earn(int route, double cap) {
        room[slot(route)] = Math.min(free, room[slot(route)] + cap);
    }

    boolean has(int route) {
        return room[slot(route)] >= 1;
    }

    /** Takes one try's room, where there is as much. */
    boolean take(int route) {
        boolean has = has(route);
        room[slot(route)] -= has ? 1 : 0;
        return has;
    }

    private int slot(int route) {
        return Math.min(route, room.length - 1);
    }
}
