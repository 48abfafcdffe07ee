package gatelock.fleet;

import gatelock.membership.EndpointSubset;

/**
 * The parameters of a simulated fleet, with round defaults of our own. Callers change single fields before they build a
 * {@link SimulatedFleet}.
 */
final class FleetParameters {
    int relays = 100;
    int endpoints = 60;
    double requestsPerS = 280;
    long seed = 1;
    /** A relay's request rate is weighted by a factor between 1 / spread and spread. */
    double relayLoadSpread = 6;

    /** Mean processing time of a request; single requests are distributed exponentially around it. */
    double meanWorkUs = 360 * VirtualClock.MILLISECOND_US;
    /** Requests that an endpoint processes at once. */
    int endpointConcurrency = 4;

    int zones = 2;
    /** Requests that wait at an endpoint before it rejects further ones. */
    int endpointQueueLimit = 30;
    /** Share of its full capacity that an endpoint has when it starts; it grows linearly over {@link #warmUpUs}. */
    double coldCapacityShare = 0.4;

    long warmUpUs = 3 * VirtualClock.SECOND_US;
    /** Rule 4: the work sent to a cold endpoint in a window is at most this multiple of its capacity. */
    double coldLoadLimit = 2.5;

    long coldWindowUs = VirtualClock.SECOND_US;
    /** Share of the endpoints that run the canary in each stage of a rollout. */
    double[] stageShares = {0.08, 0.6, 1};
    /** A stage's cap on canary traffic is its share of the endpoints times this factor. */
    double stageCapFactor = 2;
    /** Rule 5: attempts at the canary that a relay may make in a window beyond its cap. */
    double freeCanaryAttempts = 2;

    long exposureWindowUs = 2 * VirtualClock.SECOND_US;
    long bakeTimeUs = VirtualClock.SECOND_US;
    /** Share of all relays that have to vote for promotion to the next stage. */
    double promotionShare = 0.4;
    /** Share of all relays that have to vote for a rollback. */
    double rollbackShare = 0.15;
    /** Votes that the release controller accepts per second; it accepts twice as many in a burst. */
    double votesPerS = 15;

    double newConnectionCost = 0.08;
    /** Share of requests that fail at a faulty canary endpoint. */
    double canaryErrorRate;
    /** Times the work that a request needs at a faulty canary endpoint. */
    double canaryWorkFactor = 1;
    /** The canary is faulty only on endpoints at least this old. */
    long canaryFaultAgeUs;
    /** The canary is faulty only on endpoints with more than this share of their concurrency in use. */
    double canaryFaultUtilization;

    /** With several services each request is for one of them and reaches only that one's endpoints. */
    int services = 1;
    /** Zipf exponent by which endpoints, and so requests, are spread over services. */
    double serviceZipfExponent;
    /** How many of all relays are simulated, spread evenly over their numbers; 0: all. */
    int simulatedRelays;
    /** Bandwidth of a relay's link to discovery; 0: unlimited, and a relay that starts already knows the list. */
    long discoveryLinkBytesPerS;
    /** Time within which every relay has to have a change that discovery knows of. */
    long propagationLimitUs = 7 * VirtualClock.SECOND_US;
    /** Time from the start of a drain until the process ends. */
    long drainTimeUs = 10 * VirtualClock.SECOND_US;
    /** Time from the loss of an endpoint until discovery notices it. */
    long failureDetectionUs = 3 * VirtualClock.SECOND_US;
    /** Whether a relay holds a subset of the endpoints instead of the whole list. */
    boolean subsetting;
    /** Endpoints of one service that a subset aims at. */
    int endpointsPerService = 5;
    /** How many of those have to be in other zones. */
    int minOtherZoneEndpoints = 2;
    /** Mean number of relays that have to hold each endpoint. */
    int minHolders = EndpointSubset.DEFAULT_MIN_HOLDERS;
    /** Time after which a subset drops an endpoint that it no longer needs. */
    long subsetSettleUs = 10 * VirtualClock.SECOND_US;

    PlantedFault plantedFault = PlantedFault.NONE;

    /** The number of relays that are simulated. */
    int simulatedRelayCount() {
        return simulatedRelays > 0 ? Math.min(relays, simulatedRelays) : relays;
    }

    /** The subset terms of a relay. Their capacity is all endpoints, so that only the aim limits a subset here. */
    EndpointSubset.Policy subsetTerms(int relay) {
        return new EndpointSubset.Policy(
                relay,
                relay % zones,
                endpoints,
                endpointsPerService,
                Math.min(1, minHolders / (double) relays),
                minOtherZoneEndpoints,
                subsetSettleUs);
    }

    /** Share of its full capacity that an endpoint has at an age. */
    double capacityShare(long ageUs) {
        return Math.min(1, coldCapacityShare + (1 - coldCapacityShare) * Math.max(0, ageUs) / warmUpUs);
    }

    /** The number of votes that a share of all relays comes to. */
    int votesNeeded(double share) {
        return Math.max(1, (int) Math.ceil(share * relays));
    }
}
