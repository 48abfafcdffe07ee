package gatelock.decision;

import java.util.Arrays;

/**
 * What may be sent as a share of what is taken, for each of some slots. Within any span it allows what was
 * earned in it and {@code most}: as no more than that is ever saved up, no window opens after what earned it
 * has aged out.
 */
final class ExposureBudget {
    private final double most;
    private final double[] room;

    ExposureBudget(int slots, double most) {
        this.most = most;
        room = new double[slots];
        Arrays.fill(room, most);
    }

    /** One was taken of which such a share may be sent. */
    void earn(int of, double share) {
        room[slot(of)] = Math.min(most, room[slot(of)] + share);
    }

    /** Whether one more may be sent. */
    boolean has(int of) {
        return room[slot(of)] >= 1;
    }

    void take(int of, int sent) {
        room[slot(of)] -= sent;
    }

    private int slot(int of) {
        return Math.min(of, room.length - 1);
    }
}
