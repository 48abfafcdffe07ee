package gatelock.fleet;

import gatelock.membership.EndpointSubset;

/**
 * The parameters of a simulated fleet. The defaults are round numbers. Callers set individual fields before they create
 * a {@link SimulatedFleet}.
 */
final class FleetParameters {
    int relays = 100;
    int endpoints = 60;
    double requestsPerS = 280;
    long seed = 1;
    /** The request rate of each relay is weighted by a random factor between 1 / spread and spread. */
    double relayLoadSpread = 6;

    /** Mean processing time of a request; processing times are exponentially distributed. */
    double meanWorkUs = 360 * VirtualClock.MILLISECOND_US;
    /** Number of requests that an endpoint processes concurrently. */
    int endpointConcurrency = 4;

    int zones = 2;
    /** Number of requests that may be queued at an endpoint before it rejects further ones. */
    int endpointQueueLimit = 30;
    /** Share of its full capacity that an endpoint has when it starts; it grows linearly over {@link #warmUpUs}. */
    double coldCapacityShare = 0.4;

    /** Time that an endpoint takes to reach its full capacity after a start. */
    long warmUpUs = 3 * VirtualClock.SECOND_US;
    /** Rule 4: the work sent to a cold endpoint within a window is at most this multiple of its capacity. */
    double coldLoadLimit = 2.5;

    /** The window of rule 4. */
    long coldWindowUs = VirtualClock.SECOND_US;
    /** Share of the endpoints that run the canary in each stage of a rollout. */
    double[] stageShares = {0.08, 0.6, 1};
    /** A stage's cap on canary traffic is its share of the endpoints times this factor. */
    double stageCapFactor = 2;
    /** Rule 5: attempts that a relay may send to the canary within a window in addition to its exposure cap. */
    double canaryAttemptAllowance = 2;

    /** The window of rule 5. */
    long exposureWindowUs = 2 * VirtualClock.SECOND_US;
    /** Time for which the canary must have run in a stage before it may be promoted. */
    long bakeTimeUs = VirtualClock.SECOND_US;
    /** Share of all relays that must vote for promotion to the next stage. */
    double promotionShare = 0.4;
    /** Share of all relays that must vote for a rollback. */
    double rollbackShare = 0.15;
    /** Votes that the release controller accepts per second; a burst may contain twice as many. */
    double votesPerS = 15;

    /** Cost of a new connection in the relays' endpoint selection, as a share of the weight of a request. */
    double newConnectionCost = 0.08;
    /** Share of requests that fail at a faulty canary endpoint. */
    double canaryErrorRate;
    /** Factor by which a faulty canary endpoint increases the processing time of a request. */
    double canaryWorkFactor = 1;
    /** The canary is faulty only on endpoints that have been running for at least this long. */
    long canaryFaultAgeUs;
    /** The canary is faulty only on endpoints with more than this share of their concurrency in use. */
    double canaryFaultUtilization;

    /** Number of services; if there are several, each request is for one of them and reaches only its endpoints. */
    int services = 1;
    /** Exponent of the Zipf distribution of endpoints, and therefore of requests, over the services. */
    double serviceZipfExponent;
    /** Number of relays that are simulated, spread evenly over all relay numbers; 0 simulates all of them. */
    int simulatedRelays;
    /**
     * Bandwidth of a relay's link to discovery. 0 means that it is unlimited and that a relay already has the current
     * list when it starts.
     */
    long discoveryLinkBytesPerS;
    /** Time within which a change known to discovery must reach every relay. */
    long propagationLimitUs = 7 * VirtualClock.SECOND_US;
    /** Time from the start of a drain until the endpoint's process ends. */
    long drainTimeUs = 10 * VirtualClock.SECOND_US;
    /** Time from the failure of an endpoint until discovery detects it. */
    long failureDetectionUs = 3 * VirtualClock.SECOND_US;
    /** Whether a relay holds a subset of the endpoints instead of the full list. */
    boolean subsetting;
    /** Minimum number of endpoints of each service that a subset should contain. */
    int endpointsPerService = 5;
    /** How many of those must be in other zones. */
    int minOtherZoneEndpoints = 2;
    /** Minimum for the mean number of relays that hold each endpoint. */
    int minRelaysPerEndpoint = EndpointSubset.DEFAULT_MIN_RELAYS_PER_ENDPOINT;
    /** Time after which a subset removes an endpoint that it no longer needs. */
    long subsetSettleUs = 10 * VirtualClock.SECOND_US;

    /** The fault that is injected to test the rule checker. */
    InjectedFault injectedFault = InjectedFault.NONE;

    /** Returns the number of relays that are simulated. */
    int simulatedRelayCount() {
        return simulatedRelays > 0 ? Math.min(relays, simulatedRelays) : relays;
    }

    /**
     * Returns the subset policy of a relay. Its maximum size is the number of all endpoints, so that only the target
     * per service limits the subset.
     */
    EndpointSubset.Policy subsetPolicy(int relay) {
        return new EndpointSubset.Policy(
                relay,
                relay % zones,
                endpoints,
                endpointsPerService,
                Math.min(1, minRelaysPerEndpoint / (double) relays),
                minOtherZoneEndpoints,
                subsetSettleUs);
    }

    /** Returns the share of its full capacity that an endpoint has at the given age. */
    double capacityShare(long ageUs) {
        return Math.min(1, coldCapacityShare + (1 - coldCapacityShare) * Math.max(0, ageUs) / warmUpUs);
    }

    /** Returns the number of votes that corresponds to a share of all relays. */
    int votesNeeded(double share) {
        return Math.max(1, (int) Math.ceil(share * relays));
    }
}
