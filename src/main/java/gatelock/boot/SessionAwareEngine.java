package gatelock.boot;

import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.api.RequestConstraints;
import gatelock.api.RequestHandle;
import gatelock.session.Sessions;
import java.util.List;

/** A decision engine that passes what it learns of endpoints and builds on to the sessions too. */
record SessionAwareEngine(DecisionEngine engine, Sessions sessions) implements DecisionEngine {

    @Override
    public void start(long nowUs) {
        engine.start(nowUs);
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
            RequestConstraints constraints) {
        return engine.take(nowUs, id, route, tenant, key, leftUs, costUs, constraints);
    }

    @Override
    public Passing message(long nowUs, String endpoint, int route, boolean first) {
        return engine.message(nowUs, endpoint, route, first);
    }

    @Override
    public void listed(long nowUs, ListForm form, List<Endpoint> endpoints) {
        engine.listed(nowUs, form, endpoints);
        sessions.listed(nowUs, form, endpoints);
    }

    @Override
    public void news(long nowUs, int build, int stage, Phase phase, double cap, long agoUs, VoteAnswer answer) {
        engine.news(nowUs, build, stage, phase, cap, agoUs, answer);
        // Any other answer is about a vote that was not counted, and says nothing of the release's state.
        if (answer == VoteAnswer.NOT_ASKED || answer == VoteAnswer.COUNTED) {
            sessions.news(nowUs, build, phase);
        }
    }

    @Override
    public void complaint(long nowUs, String endpoint, int route, long agoUs) {
        engine.complaint(nowUs, endpoint, route, agoUs);
    }

    @Override
    public void counted(long nowUs, int build, int route, int count, int failed, long meanUs, long agoUs) {
        engine.counted(nowUs, build, route, count, failed, meanUs, agoUs);
    }

    @Override
    public void due(long nowUs, long token) {
        engine.due(nowUs, token);
    }
}
