package gatelock.control;

import gatelock.config.Admission;
import gatelock.config.CompiledConfig;
import gatelock.config.ConfigCompiler;
import gatelock.config.ConfigVersion;
import gatelock.config.Diagnostic;
import gatelock.config.VersionTracker;
import gatelock.net.EventLoop;
import gatelock.state.Counters;
import gatelock.state.LogField;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Brings a version from its text into force, from whatever source it came: asked of {@link VersionTracker} what
 * to do with
 * it, compiled off the I/O thread, set beside the one in force, then swapped in one step and kept.
 */
public final class ConfigUpdater {
    private static final System.Logger LOG = System.getLogger("gatelock.control");
    private static final int LOGGED = 5;

    private final EventLoop turn;
    private final Counters counters;
    private final VersionTracker succession;
    private final Admission admission;
    private final ConfigCompiler compiler;
    private final LastKnownGoodStore keep;
    private long longestSwapUs;
    private long latestCompileUs;

    /**
     * What came of a version.
     *
     * @param answer one word for the control service
     * @param isNew whether the service could not know this before
     */
    public record Told(boolean accepted, String answer, List<Diagnostic> findings, boolean isNew) {}

    /** @param keep null: nothing is kept on disk */
    public ConfigUpdater(
            EventLoop turn,
            Counters counters,
            VersionTracker succession,
            Admission admission,
            ConfigCompiler compiler,
            LastKnownGoodStore keep) {
        this.turn = turn;
        this.counters = counters;
        this.succession = succession;
        this.admission = admission;
        this.compiler = compiler;
        this.keep = keep;
    }

    public VersionTracker succession() {
        return succession;
    }

    public Admission admission() {
        return admission;
    }

    public long longestSwapUs() {
        return longestSwapUs;
    }

    public long latestCompileUs() {
        return latestCompileUs;
    }

    /** A version has come from a control service; {@code then} hears on the I/O thread what came of it. */
    public void offered(ConfigVersion stamp, byte[] text, Consumer<Told> then) {
        VersionTracker.Meeting meeting = succession.offered(stamp);
        switch (meeting) {
            case COMPILE -> compile(stamp, text, then);
            case HELD -> then.accept(new Told(true, "held", List.of(), false));
            case REFUSED_BEFORE -> {
                counters.add("versions refused again");
                then.accept(new Told(false, "refused-before", succession.refused(stamp.hash()), false));
            }
            default -> {
                counters.add("versions out of order");
                String answer =
                        meeting.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
                if (succession.met().get(meeting) == 1) {
                    LOG.log(
                            Level.WARNING,
                            "version {0} is not applied, {1}: {2} stays in force",
                            LogField.of("version", stamp),
                            LogField.of("reason", answer),
                            LogField.of("held", succession.held()));
                }
                then.accept(new Told(false, answer, List.of(), false));
            }
        }
    }

    private void compile(ConfigVersion stamp, byte[] text, Consumer<Told> then) {
        long fromUs = turn.nowUs();
        turn.aside(() -> compiler.compile(stamp.epoch(), stamp.number(), text), ConfigCompiler.FAILED, compiled -> {
            latestCompileUs = turn.nowUs() - fromUs;
            then.accept(
                    compiled.good()
                            ? beside(compiled.plan(), text, compiled.findings(), "control service")
                            : refuse(stamp, compiled.findings(), true));
        });
    }

    private Told beside(CompiledConfig plan, byte[] text, List<Diagnostic> findings, String why) {
        List<Diagnostic> danger = admission.beside(turn.nowUs(), plan);
        if (danger.stream().anyMatch(Diagnostic::grave)) {
            return refuse(plan.stamp(), danger, false);
        }
        if (!succession.good(turn.nowUs(), plan, why, text)) {
            return new Told(false, "older", List.of(), false);
        }
        swap(plan, why);
        if (keep != null) {
            turn.aside(() -> keep.keep(plan.stamp(), text), "it failed", failed -> {
                if (failed != null) {
                    counters.add("versions not kept");
                    LOG.log(
                            Level.WARNING,
                            "version {0} is in force and not kept on disk: {1}",
                            LogField.of("version", plan.stamp()),
                            LogField.of("reason", failed));
                }
            });
        }
        return new Told(true, "applied", findings, true);
    }

    private void swap(CompiledConfig plan, String why) {
        long fromUs = turn.nowUs();
        admission.follow(fromUs, plan);
        longestSwapUs = Math.max(longestSwapUs, turn.nowUs() - fromUs);
        counters.add("versions applied");
        LOG.log(
                Level.INFO,
                "version {0} in force, {1} routes, from {2}, by {3}: {4}",
                LogField.of("version", plan.stamp()),
                LogField.of("routes", plan.routes()),
                LogField.of("source", why),
                LogField.of("by", plan.by()),
                LogField.of("note", plan.note()));
    }

    private Told refuse(ConfigVersion stamp, List<Diagnostic> findings, boolean always) {
        succession.bad(stamp, findings, always);
        counters.add("versions refused");
        LOG.log(
                Level.WARNING,
                "version {0} is turned down, {1} stays in force: {2}",
                LogField.of("version", stamp),
                LogField.of("held", succession.inForce()),
                LogField.of(
                        "reason",
                        findings.stream()
                                .filter(Diagnostic::grave)
                                .limit(LOGGED)
                                .map(Diagnostic::toString)
                                .collect(Collectors.joining(" | "))));
        return new Told(false, "refused", findings, true);
    }

    /** A version from disk, before the first one from a control service; tells whether it is in force now. */
    public boolean recovered(LastKnownGoodStore.Kept kept) {
        ConfigCompiler.Compiled compiled =
                compiler.compile(kept.stamp().epoch(), kept.stamp().number(), kept.text());
        if (!compiled.good()) {
            LOG.log(
                    Level.WARNING,
                    "version {0} from disk is not sound any more: {1}",
                    LogField.of("version", kept.stamp()),
                    LogField.of("reason", compiled.findings()));
            return false;
        }
        if (succession.good(turn.nowUs(), compiled.plan(), "disk", kept.text())) {
            swap(compiled.plan(), "disk");
            return true;
        }
        return false;
    }

    /** The operator goes back to a number that was in force; {@code then} hears why not, or null. */
    public void goBack(long number, String why, Consumer<String> then) {
        VersionTracker.Past past = succession.past(number);
        if (past == null) {
            then.accept("no version " + number + " is remembered; see history");
            return;
        }
        turn.aside(
                () -> compiler.compile(past.stamp().epoch(), number, past.text()), ConfigCompiler.FAILED, compiled -> {
                    if (!compiled.good()) {
                        then.accept("version " + number + " is not sound any more: " + compiled.findings());
                        return;
                    }
                    succession.pin(turn.nowUs(), past, "operator: " + why);
                    swap(compiled.plan(), "operator: " + why);
                    then.accept(null);
                });
    }

    /** The control service leads again. */
    public void release() {
        succession.release();
        LOG.log(
                Level.INFO,
                "the control service leads again; {0} is in force",
                LogField.of("version", succession.inForce()));
    }
}
