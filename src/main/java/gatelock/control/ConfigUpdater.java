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
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Brings a version of the configuration into force, whatever source it came from. {@link VersionTracker} decides
 * what to do with the version; it is then compiled off the I/O thread, compared with the version in force, swapped
 * in within one step and saved to disk.
 */
public final class ConfigUpdater {
    private static final System.Logger LOG = System.getLogger("gatelock.control");
    /** How many diagnostics of a rejected version go to the log. All of them go to the control service. */
    private static final int LOGGED_DIAGNOSTICS = 5;

    private static final String FROM_CONTROL_SERVICE = "control service";
    private static final String FROM_DISK = "disk";

    private final EventLoop eventLoop;
    private final Counters counters;
    private final VersionTracker versions;
    private final Admission admission;
    private final ConfigCompiler compiler;
    private final LastKnownGoodStore store;
    private long longestSwapUs;
    private long latestCompileUs;

    /**
     * Creates an updater that has no version in force yet.
     *
     * @param versions decides which version may follow which
     * @param admission is given each version that comes into force
     * @param store where versions in force are saved; null where nothing is saved
     */
    public ConfigUpdater(
            EventLoop eventLoop,
            Counters counters,
            VersionTracker versions,
            Admission admission,
            ConfigCompiler compiler,
            LastKnownGoodStore store) {
        this.eventLoop = eventLoop;
        this.counters = counters;
        this.versions = versions;
        this.admission = admission;
        this.compiler = compiler;
        this.store = store;
    }

    /** The versions that are in force, pinned, rejected or remembered. */
    VersionTracker versions() {
        return versions;
    }

    /** The admission control that follows the version in force. */
    Admission admission() {
        return admission;
    }

    /** The longest time in microseconds for which a swap has held up the I/O thread. */
    long longestSwapUs() {
        return longestSwapUs;
    }

    /** How long the latest compilation took in microseconds, with its wait for the worker thread. */
    long latestCompileUs() {
        return latestCompileUs;
    }

    /**
     * Takes a version from a control service.
     *
     * @param whenSettled receives the result on the I/O thread
     */
    void offer(ConfigVersion version, byte[] text, Consumer<UpdateResult> whenSettled) {
        VersionTracker.OfferOutcome meeting = versions.evaluateOffer(version);
        switch (meeting) {
            case COMPILE -> compileAndApply(version, text, whenSettled);
            case HELD -> whenSettled.accept(UpdateResult.alreadyHeld());
            case REFUSED_BEFORE -> {
                counters.increment("versions refused again");
                whenSettled.accept(UpdateResult.rejectedBefore(versions.rejectionFindings(version.hash())));
            }
            default -> whenSettled.accept(rejectOutOfOrder(version, meeting));
        }
    }

    private UpdateResult rejectOutOfOrder(ConfigVersion version, VersionTracker.OfferOutcome meeting) {
        counters.increment("versions out of order");
        String answer = meeting.name().toLowerCase(Locale.ROOT).replace('_', '-');
        boolean firstOfItsKind = versions.offerCounts().get(meeting) == 1;
        if (firstOfItsKind) {
            LOG.log(
                    Level.WARNING,
                    "version {0} is not applied, {1}: {2} stays in force",
                    LogField.of("version", version),
                    LogField.of("reason", answer),
                    LogField.of("held", versions.latestAccepted()));
        }
        return UpdateResult.outOfOrder(answer);
    }

    private void compileAndApply(ConfigVersion version, byte[] text, Consumer<UpdateResult> whenSettled) {
        long startedUs = eventLoop.nowUs();
        eventLoop.offload(
                () -> compiler.compile(version.epoch(), version.number(), text), ConfigCompiler.FAILED, compiled -> {
                    latestCompileUs = eventLoop.nowUs() - startedUs;
                    whenSettled.accept(
                            compiled.isValid()
                                    ? applyIfSafe(compiled.config(), text, compiled.findings())
                                    : reject(version, compiled.findings(), true));
                });
    }

    /** Applies a sound version unless going to it from the version in force would be dangerous. */
    private UpdateResult applyIfSafe(CompiledConfig config, byte[] text, List<Diagnostic> diagnostics) {
        List<Diagnostic> dangers = admission.checkAgainstActive(eventLoop.nowUs(), config);
        if (dangers.stream().anyMatch(Diagnostic::isError)) {
            return reject(config.version(), dangers, false);
        }
        if (!versions.accept(eventLoop.nowUs(), config, FROM_CONTROL_SERVICE, text)) {
            return UpdateResult.outOfOrder("older");
        }
        swap(config, FROM_CONTROL_SERVICE);
        if (store != null) {
            save(config.version(), text);
        }
        return UpdateResult.applied(diagnostics);
    }

    private void save(ConfigVersion version, byte[] text) {
        eventLoop.offload(() -> store.save(version, text), Optional.of("it failed"), failure -> {
            if (failure.isPresent()) {
                counters.increment("versions not kept");
                LOG.log(
                        Level.WARNING,
                        "version {0} is in force and not kept on disk: {1}",
                        LogField.of("version", version),
                        LogField.of("reason", failure.get()));
            }
        });
    }

    private void swap(CompiledConfig config, String source) {
        long startedUs = eventLoop.nowUs();
        admission.activate(startedUs, config);
        longestSwapUs = Math.max(longestSwapUs, eventLoop.nowUs() - startedUs);
        counters.increment("versions applied");
        LOG.log(
                Level.INFO,
                "version {0} in force, {1} routes, from {2}, by {3}: {4}",
                LogField.of("version", config.version()),
                LogField.of("routes", config.routeCount()),
                LogField.of("source", source),
                LogField.of("by", config.author()),
                LogField.of("note", config.note()));
    }

    /** @param always whether the text is wrong in itself, and not only beside the version in force */
    private UpdateResult reject(ConfigVersion version, List<Diagnostic> diagnostics, boolean always) {
        versions.reject(version, diagnostics, always);
        counters.increment("versions refused");
        String reason = diagnostics.stream()
                .filter(Diagnostic::isError)
                .limit(LOGGED_DIAGNOSTICS)
                .map(Diagnostic::toString)
                .collect(Collectors.joining(" | "));
        LOG.log(
                Level.WARNING,
                "version {0} is turned down, {1} stays in force: {2}",
                LogField.of("version", version),
                LogField.of("held", versions.active()),
                LogField.of("reason", reason));
        return UpdateResult.rejected(diagnostics);
    }

    /**
     * Applies a version from disk, before the first one has come from a control service.
     *
     * @return whether the version is in force now
     */
    public boolean recover(LastKnownGoodStore.StoredVersion stored) {
        ConfigVersion version = stored.version();
        ConfigCompiler.Result compiled = compiler.compile(version.epoch(), version.number(), stored.text());
        if (!compiled.isValid()) {
            LOG.log(
                    Level.WARNING,
                    "version {0} from disk is not sound any more: {1}",
                    LogField.of("version", version),
                    LogField.of("reason", compiled.findings()));
            return false;
        }
        if (!versions.accept(eventLoop.nowUs(), compiled.config(), FROM_DISK, stored.text())) {
            return false;
        }
        swap(compiled.config(), FROM_DISK);
        return true;
    }

    /**
     * Rolls back to a version that was in force before and pins it, on an operator's word.
     *
     * @param reason the operator's reason, which the history keeps
     * @param whenSettled receives on the I/O thread why the rollback failed, or nothing where it succeeded
     */
    void rollBack(long number, String reason, Consumer<Optional<String>> whenSettled) {
        VersionTracker.HistoryEntry past = versions.findInHistory(number);
        if (past == null) {
            whenSettled.accept(Optional.of("no version " + number + " is remembered; see history"));
            return;
        }
        eventLoop.offload(
                () -> compiler.compile(past.version().epoch(), number, past.text()),
                ConfigCompiler.FAILED,
                compiled -> whenSettled.accept(pin(past, compiled, "operator: " + reason)));
    }

    private Optional<String> pin(VersionTracker.HistoryEntry past, ConfigCompiler.Result compiled, String source) {
        if (!compiled.isValid()) {
            return Optional.of("version " + past.version().number() + " is not sound any more: " + compiled.findings());
        }
        versions.pin(eventLoop.nowUs(), past, source);
        swap(compiled.config(), source);
        return Optional.empty();
    }

    /** Ends a rollback: versions of the control service are applied again. */
    void releasePin() {
        versions.unpin();
        LOG.log(
                Level.INFO,
                "the control service leads again; {0} is in force",
                LogField.of("version", versions.active()));
    }
}
