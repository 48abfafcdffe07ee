package gatelock.decision;

import java.util.List;

/**
 * The bar of times: so many times a percentile of an earlier build's, each time set against the usual one
 * under like load. Where no time of an earlier build is known, the route's objective stands for it.
 */
final class SlowBar {
    private final LikeLoad like;
    private final double bar;
    private final long warmUs;

    SlowBar(List<Slice> theirs, LikeLoad like, double margin, double percentile, long warmUs) {
        double[][] there = like.against(theirs, 0);
        this.like = like;
        this.bar = there.length == 0 ? Double.NaN
            : margin * Bootstrap.percentile(there, Bootstrap.once(theirs.size()), percentile);
        this.warmUs = warmUs;
    }

    /** Times of warm units only, and under a load that the earlier build had, too. */
    boolean tellsOf(Outcome o) {
        return !o.failed() && o.ageUs() > warmUs && (Double.isNaN(bar) || !Double.isNaN(like.usual(o)));
    }

    boolean isPast(Outcome o) {
        return tellsOf(o) && (Double.isNaN(bar) ? o.late() : o.slowness() / like.usual(o) > bar);
    }
}
