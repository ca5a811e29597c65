package frostreel.routing;

import frostreel.routing.Router.Actions;
import frostreel.routing.Router.Settings;
import java.util.SplittableRandom;

/** Objects that several classes of a router share. */
final class RoutingComponents {
    /** Shortest interval, in microseconds, between two rechecks of the queued requests. */
    private static final long MIN_RECHECK_INTERVAL_US = 10_000;

    final ActiveSettings settings;
    final Actions actions;
    final LocalityPolicy localityPolicy;
    /** Interval, in microseconds, between two rechecks of the queued requests. */
    final long recheckIntervalUs;
    /** Random start of the rotation of reads, so that routers do not all begin with the same member. */
    final int rotationSeed;

    final SlowStart slowStart;
    final ClassLatencies latencies;
    final Freshness freshness;
    final RetryPolicy retryPolicy;
    final HealthChecker healthChecker;
    final PrimaryTracker primaryTracker;
    final LoadShedder loadShedder;

    RoutingComponents(
            Settings initialSettings,
            Actions actions,
            LocalityPolicy localityPolicy,
            PeerCommits peerCommits,
            PeerRoles peerRoles) {
        this.actions = actions;
        this.localityPolicy = localityPolicy;
        settings = new ActiveSettings(initialSettings);
        recheckIntervalUs = Math.max(initialSettings.tickUs(), MIN_RECHECK_INTERVAL_US);
        SplittableRandom random = new SplittableRandom(initialSettings.seed());
        rotationSeed = (int) (random.nextLong() >>> 40);
        slowStart = new SlowStart(initialSettings, peerRoles != PeerRoles.NONE, actions::log);
        latencies = new ClassLatencies(initialSettings);
        freshness = new Freshness(settings, peerCommits);
        retryPolicy = new RetryPolicy(recheckIntervalUs, latencies);
        healthChecker = new HealthChecker(settings, actions);
        primaryTracker = new PrimaryTracker(settings, peerRoles);
        loadShedder = new LoadShedder(settings, random);
        localityPolicy.onSettings(initialSettings);
    }

    /** Replaces the settings. */
    void onSettings(Settings newSettings) {
        settings.replace(newSettings);
        latencies.onSettings(newSettings);
        freshness.onSettings(newSettings);
        slowStart.onSettings(newSettings);
        localityPolicy.onSettings(newSettings);
    }
}
