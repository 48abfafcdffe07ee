package gatelock.boot;

import gatelock.discovery.ServiceNameExtractor;
import gatelock.membership.EndpointSubset;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * The operator's file: the optional features of a relay beyond what the platform requires. Without a file all of them
 * are disabled; without one of its sections the feature that the section configures is disabled.
 *
 * @param control versioned configuration, or null to disable it
 * @param sessions WebSocket sessions, or null to disable them
 * @param membership the subset of endpoints to use, or null to use all listed endpoints
 * @param listener the address of the operator listener, or null to open none
 * @param jsonLog whether log lines are JSON
 * @param logLevel the minimum level that is logged, or null for the default
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
     * @param services the addresses of the control services
     * @param holdMs how long a service may hold a long poll
     * @param maxVersionBytes the maximum size of a version
     * @param maxBackoffUs the maximum backoff between failed polls
     * @param storeDirectory the directory where valid versions are saved, or null to save none
     * @param maxDroppedShare the maximum share of the endpoints that one version may stop using
     * @param historySize how many versions are kept for a rollback
     */
    record Control(
            List<InetSocketAddress> services,
            long holdMs,
            int maxVersionBytes,
            long maxBackoffUs,
            Path storeDirectory,
            double maxDroppedShare,
            int historySize) {}

    /**
     * WebSocket sessions.
     *
     * @param maxSessions the maximum number of open sessions; 0 for a tenth of the relay's sockets
     * @param opensPerEndpointPerS the maximum number of sessions opened per second for each endpoint
     * @param drainTimeoutUs the time over which the sessions of a draining endpoint are migrated
     */
    record Sessions(int maxSessions, double opensPerEndpointPerS, long drainTimeoutUs) {}

    /**
     * The selection of the subset of listed endpoints that this relay uses.
     *
     * @param policy how the subset is chosen
     * @param serviceNames determines the service of an endpoint
     * @param maxListBytes the maximum size of a response with an endpoint list
     * @param sectionText the text of the section, to detect changes
     */
    record Membership(
            EndpointSubset.Policy policy, ServiceNameExtractor serviceNames, long maxListBytes, String sectionText) {

        /** Returns whether the section has the same text in the other configuration. */
        boolean hasSameText(Membership other) {
            return other != null && sectionText.equals(other.sectionText);
        }
    }

    /** Returns whether both configurations request the same subset of endpoints, or both request none. */
    boolean hasSameMembership(OperatorConfig other) {
        return membership == null ? other.membership == null : membership.hasSameText(other.membership);
    }
}
