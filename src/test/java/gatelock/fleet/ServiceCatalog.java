package gatelock.fleet;

import gatelock.api.RequestConstraints;
import gatelock.standin.EndpointRestriction;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/** The services of a fleet. Endpoints and requests are spread over them by a Zipf distribution over their rank. */
final class ServiceCatalog {
    /**
     * A service, whose requests reach only its own endpoints.
     *
     * @param cumulativeShare the end of the service's range in the unit interval
     */
    private record Service(String name, Set<String> endpoints, double cumulativeShare) implements EndpointRestriction {
        @Override
        public boolean allowsEndpoint(String endpoint) {
            return endpoints.contains(endpoint);
        }
    }

    private final FleetParameters parameters;
    private final List<Service> services = new ArrayList<>();

    /** Creates the services, with no endpoints yet. */
    ServiceCatalog(FleetParameters parameters) {
        this.parameters = parameters;
        double totalWeight = IntStream.rangeClosed(1, parameters.services)
                .mapToDouble(this::weight)
                .sum();
        double cumulativeShare = 0;
        for (int rank = 1; rank <= parameters.services; rank++) {
            cumulativeShare += weight(rank) / totalWeight;
            // Rounding must not leave a gap after the last service.
            double end = rank == parameters.services ? 1 : cumulativeShare;
            services.add(new Service("s" + rank, new HashSet<>(), end));
        }
    }

    private double weight(int rank) {
        return Math.pow(rank, -parameters.serviceZipfExponent);
    }

    /**
     * Returns the index of an initial endpoint's service. The first endpoints are one for each service; the others are
     * distributed by the shares of the services.
     */
    int serviceOf(int endpoint) {
        if (endpoint < parameters.services) {
            return endpoint;
        }
        double position = endpoint - parameters.services + 0.5;
        return indexAt(position / (parameters.endpoints - parameters.services));
    }

    /** Returns the index of the service whose range contains a point of the unit interval. */
    private int indexAt(double point) {
        int low = 0;
        int high = services.size() - 1;
        while (low < high) {
            int middle = (low + high) / 2;
            if (services.get(middle).cumulativeShare > point) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    /** Returns whether there is more than one service. */
    boolean hasSeveral() {
        return parameters.services > 1;
    }

    /** Returns the constraints of a request for the service at a point of the unit interval. */
    RequestConstraints constraintsAt(double point) {
        return services.get(indexAt(point));
    }

    /** Returns the name of the service with an index. */
    String name(int service) {
        return services.get(service).name;
    }

    /** Adds an endpoint to a service. */
    void addEndpoint(int service, String endpoint) {
        services.get(service).endpoints.add(endpoint);
    }
}
