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
 * Activates configuration versions from all sources: the control service, the disk and the operator. {@link
 * VersionTracker} decides what to do with a version. A version to apply is compiled off the I/O thread, compared with
 * the active version, activated in a single step on the I/O thread, and saved to disk.
 */
public final class ConfigUpdater {
    private static final System.Logger LOG = System.getLogger("gatelock.control");
    /** The maximum number of errors of a rejected version to log; the control service receives all diagnostics. */
    private static final int LOGGED_DIAGNOSTICS = 5;

    private static final String SOURCE_CONTROL_SERVICE = "control service";
    private static final String SOURCE_DISK = "disk";

    private final EventLoop eventLoop;
    private final Counters counters;
    private final VersionTracker versions;
    private final Admission admission;
    private final ConfigCompiler compiler;
    private final LastKnownGoodStore store;
    private long longestSwapUs;
    private long latestCompileUs;

    /**
     * Creates an updater without an active version.
     *
     * @param eventLoop runs the updater; compilation and disk access are offloaded from it
     * @param counters counts applied, rejected and unsaved versions
     * @param versions decides which versions may be applied
     * @param admission applies the active version to requests
     * @param compiler compiles the versions
     * @param store stores the versions that were applied; null if they are not stored
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

    /** Returns the tracker of active, pinned, rejected and past versions. */
    VersionTracker versions() {
        return versions;
    }

    /** Returns the admission control that applies the active version to requests. */
    Admission admission() {
        return admission;
    }

    /** Returns the longest time in microseconds that activating a version has blocked the I/O thread. */
    long longestSwapUs() {
        return longestSwapUs;
    }

    /** Returns how long the latest compilation took in microseconds, including the wait for the worker thread. */
    long latestCompileUs() {
        return latestCompileUs;
    }

    /**
     * Handles a version received from a control service.
     *
     * @param version identifies the version
     * @param text the version's text
     * @param onResult receives the result on the I/O thread
     */
    void offer(ConfigVersion version, byte[] text, Consumer<UpdateResult> onResult) {
        VersionTracker.OfferOutcome outcome = versions.evaluateOffer(version);
        switch (outcome) {
            case COMPILE -> compileAndApply(version, text, onResult);
            case HELD -> onResult.accept(UpdateResult.alreadyHeld());
            case REFUSED_BEFORE -> {
                counters.increment("versions refused again");
                onResult.accept(UpdateResult.rejectedBefore(versions.rejectionDiagnostics(version.hash())));
            }
            default -> onResult.accept(rejectOutOfOrder(version, outcome));
        }
    }

    private UpdateResult rejectOutOfOrder(ConfigVersion version, VersionTracker.OfferOutcome outcome) {
        counters.increment("versions out of order");
        String answer = outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
        boolean isFirstOccurrence = versions.offerCounts().get(outcome) == 1;
        if (isFirstOccurrence) {
            LOG.log(
                    Level.WARNING,
                    "version {0} is not applied: {1}; {2} stays in force",
                    LogField.of("version", version),
                    LogField.of("reason", answer),
                    LogField.of("held", versions.latestAccepted()));
        }
        return UpdateResult.outOfOrder(answer);
    }

    private void compileAndApply(ConfigVersion version, byte[] text, Consumer<UpdateResult> onResult) {
        long startedUs = eventLoop.nowUs();
        eventLoop.offload(
                () -> compiler.compile(version.epoch(), version.number(), text), ConfigCompiler.FAILED, compiled -> {
                    latestCompileUs = eventLoop.nowUs() - startedUs;
                    onResult.accept(
                            compiled.isValid()
                                    ? applyIfSafe(compiled.config(), text, compiled.diagnostics())
                                    : reject(version, compiled.diagnostics(), true));
                });
    }

    /** Applies a valid version unless replacing the active version with it would be dangerous. */
    private UpdateResult applyIfSafe(CompiledConfig config, byte[] text, List<Diagnostic> diagnostics) {
        List<Diagnostic> changeFindings = admission.checkAgainstActive(eventLoop.nowUs(), config);
        if (changeFindings.stream().anyMatch(Diagnostic::isError)) {
            return reject(config.version(), changeFindings, false);
        }
        if (!versions.accept(eventLoop.nowUs(), config, SOURCE_CONTROL_SERVICE, text)) {
            return UpdateResult.outOfOrder("older");
        }
        swap(config, SOURCE_CONTROL_SERVICE);
        if (store != null) {
            save(config.version(), text);
        }
        return UpdateResult.applied(diagnostics);
    }

    private void save(ConfigVersion version, byte[] text) {
        eventLoop.offload(() -> store.save(version, text), Optional.of("internal error, see the log"), failure -> {
            if (failure.isPresent()) {
                counters.increment("versions not kept");
                LOG.log(
                        Level.WARNING,
                        "version {0} is in force but could not be saved to disk: {1}",
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

    /**
     * Rejects a version.
     *
     * @param permanent true if the text itself is invalid; false if only the change from the active version is
     *     dangerous
     */
    private UpdateResult reject(ConfigVersion version, List<Diagnostic> diagnostics, boolean permanent) {
        versions.reject(version, diagnostics, permanent);
        counters.increment("versions refused");
        String reason = diagnostics.stream()
                .filter(Diagnostic::isError)
                .limit(LOGGED_DIAGNOSTICS)
                .map(Diagnostic::toString)
                .collect(Collectors.joining(" | "));
        LOG.log(
                Level.WARNING,
                "version {0} is rejected, {1} stays in force: {2}",
                LogField.of("version", version),
                LogField.of("held", versions.active()),
                LogField.of("reason", reason));
        return UpdateResult.rejected(diagnostics);
    }

    /**
     * Applies a version stored on disk; called at startup, before the control service has sent a version.
     *
     * @return whether the version is now active
     */
    public boolean recover(LastKnownGoodStore.StoredVersion stored) {
        ConfigVersion version = stored.version();
        ConfigCompiler.Result compiled = compiler.compile(version.epoch(), version.number(), stored.text());
        if (!compiled.isValid()) {
            LOG.log(
                    Level.WARNING,
                    "version {0} from disk is no longer valid: {1}",
                    LogField.of("version", version),
                    LogField.of("reason", compiled.diagnostics()));
            return false;
        }
        if (!versions.accept(eventLoop.nowUs(), compiled.config(), SOURCE_DISK, stored.text())) {
            return false;
        }
        swap(compiled.config(), SOURCE_DISK);
        return true;
    }

    /**
     * Rolls back to a previously active version and pins it, as requested by an operator.
     *
     * @param number the number of the version to roll back to
     * @param reason the operator's reason, which is recorded in the history
     * @param onResult receives on the I/O thread the reason why the rollback failed, or empty if it succeeded
     */
    void rollBack(long number, String reason, Consumer<Optional<String>> onResult) {
        VersionTracker.HistoryEntry entry = versions.findInHistory(number);
        if (entry == null) {
            onResult.accept(Optional.of("no version " + number + " is remembered; see history"));
            return;
        }
        eventLoop.offload(
                () -> compiler.compile(entry.version().epoch(), number, entry.text()),
                ConfigCompiler.FAILED,
                compiled -> onResult.accept(pin(entry, compiled, "operator: " + reason)));
    }

    private Optional<String> pin(VersionTracker.HistoryEntry entry, ConfigCompiler.Result compiled, String source) {
        if (!compiled.isValid()) {
            return Optional.of(
                    "version " + entry.version().number() + " is not sound any more: " + compiled.diagnostics());
        }
        versions.pin(eventLoop.nowUs(), entry, source);
        swap(compiled.config(), source);
        return Optional.empty();
    }

    /** Ends a rollback: versions from the control service are applied again. */
    void unpin() {
        versions.unpin();
        LOG.log(
                Level.INFO,
                "rollback ended: versions from the control service are applied again; {0} is in force",
                LogField.of("version", versions.active()));
    }
}
