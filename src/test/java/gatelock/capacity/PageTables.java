package gatelock.capacity;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Collects the tables of the capacity page. */
final class PageTables {
    private PageTables() {}

    /** Returns all tables by the name in their markers. */
    static Map<String, String> allTables(
            CapacityEvaluator evaluator, Map<String, MeasurementRun> runs, List<ScaleLadder.ScalingCurve> curves) {
        Map<String, String> tables = new LinkedHashMap<>();
        addMeasurements(tables, evaluator.slopes(), runs);
        addModel(tables, new ModelTables(evaluator));
        LadderTables ladder = new LadderTables(evaluator.target().steps(), curves);
        tables.put("ladder", ladder.ladder());
        tables.put("ladder-lost", ladder.losses());
        addQuestions(tables, new TargetFigures(evaluator));
        return tables;
    }

    private static void addMeasurements(
            Map<String, String> tables, MeasurementRun slopes, Map<String, MeasurementRun> runs) {
        tables.put("runs", MeasurementTables.runs(runs));
        tables.put("notes", MeasurementTables.notes(runs));
        tables.put("slopes", MeasurementTables.slopes(slopes));
        tables.put("latency", MeasurementTables.latency(slopes));
        tables.put("classes", MeasurementTables.rows(slopes.section("classes")));
        tables.put("real", MeasurementTables.rows(slopes.section("real")));
        tables.put("many", MeasurementTables.figures(slopes.section("many")));
        tables.put("scale", MeasurementTables.scale(runs.get("scale")));
    }

    private static void addModel(Map<String, String> tables, ModelTables model) {
        tables.put("inputs", model.inputs());
        tables.put("bounds", model.bounds());
        tables.put("loads", model.loads());
        tables.put("role-relay", model.role("relay"));
        tables.put("role-unit", model.role("unit, as relays see it"));
        tables.put("role-agent", model.role("discovery's agent"));
        tables.put("role-distributor", model.role("distributor of lists and configuration"));
        tables.put("role-desk", model.role("release desk, collector of votes"));
        tables.put("role-tools", model.role("operator's tools"));
        tables.put("over", model.overBound());
    }

    private static void addQuestions(Map<String, String> tables, TargetFigures figures) {
        ServicePlacement placement = new ServicePlacement(figures);
        VoteTables votes = new VoteTables(figures);
        RelaysPerEndpointTables relaysPerEndpoint = new RelaysPerEndpointTables(figures);
        tables.put("answers", new AnswersTable(figures, votes).answers().toString());
        tables.put("who-serves", placement.placements().toString());
        tables.put("tenants-met", placement.tenantsPerRelay().toString());
        tables.put(
                "how-changes",
                new ConfigDeliveryTable(figures, placement).deliveryMethods().toString());
        tables.put("votes-needed", votes.outcomesNeeded().toString());
        tables.put("votes-got", votes.outcomesPerRelay().toString());
        tables.put("votes-alone", votes.maxRelaysPerCanary().toString());
        tables.put("holders", relaysPerEndpoint.loadByRelayCount().toString());
        tables.put("most-holders", relaysPerEndpoint.maxRelays().toString());
    }
}
