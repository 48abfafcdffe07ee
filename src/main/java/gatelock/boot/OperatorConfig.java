package gatelock.boot;

import gatelock.discovery.ServiceNameExtractor;
import gatelock.membership.EndpointSubset;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * The operator's own file: all that a relay does beyond what the platform asks of it. Without a file all of it is
 * off, and without one of its sections what that section describes is off.
 *
 * @param control null: no versioned configuration
 * @param sessions null: no WebSocket sessions
 * @param membership null: every endpoint that is listed is used
 * @param listener where operators reach this relay; null: nowhere
 * @param jsonLog whether log lines are JSON
 * @param logLevel the least level that is logged; null: the default
 */
record OperatorConfig(
        Control control,
        Sessions sessions,
        Membership membership,
        InetSocketAddress listener,
        boolean jsonLog,
        String logLevel) {

    /**
     * Versioned configuration from a control service.
     *
     * @param holdMs how long the service may hold a poll
     * @param maxVersionBytes the longest version that is taken
     * @param maxBackoffUs the longest pause between failing polls
     * @param directory where good versions are saved; null: nowhere
     * @param maxDropped the largest part of the endpoints that one version may drop
     * @param history how many versions are remembered for a rollback
     */
    record Control(
            List<InetSocketAddress> services,
            long holdMs,
            int maxVersionBytes,
            long maxBackoffUs,
            Path directory,
            double maxDropped,
            int history) {}

    /**
     * WebSocket sessions.
     *
     * @param max how many may be open; 0: a tenth of the descriptors
     * @param opensPerEndpoint how many may be opened a second for each endpoint
     * @param drainUs over which time the sessions of an endpoint that drains are migrated
     */
    record Sessions(int max, double opensPerEndpoint, long drainUs) {}

    /**
     * Which endpoints are used of those that are listed.
     *
     * @param service how an endpoint's service is found
     * @param maxListBytes how long a response with an endpoint list may be
     * @param text the section's text
     */
    record Membership(EndpointSubset.Policy terms, ServiceNameExtractor service, long maxListBytes, String text) {

        /** Whether the file says the same in the other one. */
        boolean sameText(Membership other) {
            return other != null && text.equals(other.text);
        }
    }

    /** Whether both ask for the same subset of endpoints, or neither asks for one. */
    boolean sameMembership(OperatorConfig other) {
        return membership == null ? other.membership == null : membership.sameText(other.membership);
    }
}
