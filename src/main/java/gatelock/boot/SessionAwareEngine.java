package gatelock.boot;

import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.api.RequestConstraints;
import gatelock.api.RequestHandle;
import gatelock.session.Sessions;
import java.util.List;

/** The decisions, with all that is told of endpoints and builds told to the sessions too. */
record SessionAwareEngine(DecisionEngine gate, Sessions sessions) implements DecisionEngine {

    @Override
    public void start(long nowUs) {
        gate.start(nowUs);
    }

    @Override
    public RequestHandle take(
            long nowUs,
            String id,
            int route,
            int tenant,
            long key,
            long leftUs,
            long costUs,
            RequestConstraints bounds) {
        return gate.take(nowUs, id, route, tenant, key, leftUs, costUs, bounds);
    }

    @Override
    public Passing message(long nowUs, String endpoint, int route, boolean first) {
        return gate.message(nowUs, endpoint, route, first);
    }

    @Override
    public void listed(long nowUs, ListForm form, List<Endpoint> endpoints) {
        gate.listed(nowUs, form, endpoints);
        sessions.listed(nowUs, form, endpoints);
    }

    @Override
    public void news(long nowUs, int build, int stage, Phase phase, double cap, long agoUs, VoteAnswer answer) {
        gate.news(nowUs, build, stage, phase, cap, agoUs, answer);
        if (answer == VoteAnswer.NOT_ASKED || answer == VoteAnswer.COUNTED) {
            sessions.news(nowUs, build, phase);
        }
    }

    @Override
    public void complaint(long nowUs, String endpoint, int route, long agoUs) {
        gate.complaint(nowUs, endpoint, route, agoUs);
    }

    @Override
    public void counted(long nowUs, int build, int route, int count, int failed, long meanUs, long agoUs) {
        gate.counted(nowUs, build, route, count, failed, meanUs, agoUs);
    }

    @Override
    public void due(long nowUs, long token) {
        gate.due(nowUs, token);
    }
}
