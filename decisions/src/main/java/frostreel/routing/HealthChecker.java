package frostreel.routing;

import frostreel.routing.Router.Actions;
import frostreel.routing.Router.HealthChecks;

/** Starts health checks if the deployment permits them, at most one per member at a time. */
final class HealthChecker {
    /**
     * Interval in microseconds between health checks of an unverified member; long, since each of hundreds of routers
     * sends them and the member may belong to another deployment.
     */
    private static final long VERIFICATION_INTERVAL_US = 5_000_000;

    private final Actions actions;
    private final ActiveSettings settings;

    HealthChecker(ActiveSettings settings, Actions actions) {
        this.settings = settings;
        this.actions = actions;
    }

    /** Whether health checks report role and position. */
    boolean reportsPositions() {
        return settings.limits().healthChecks() == HealthChecks.REPORT;
    }

    /** Starts a health check of a usable member unless one is pending. */
    void check(long nowUs, MemberState member) {
        if (settings.limits().healthChecks() != HealthChecks.NONE
                && !member.healthCheckPending
                && member.isUsable(settings.rules())) {
            member.healthCheckPending = true;
            member.healthCheckAtUs = nowUs;
            actions.checkHealth(member.id);
        }
    }

    /**
     * Whether a member must not receive reads yet. A member that is listed after the start of the router must first
     * pass a health check, since the list may name servers of another deployment. Starts that check if it is due.
     */
    boolean awaitsVerification(long nowUs, MemberState member) {
        if (!member.verified && nowUs - member.healthCheckAtUs > VERIFICATION_INTERVAL_US) {
            check(nowUs, member);
        }
        return !member.verified && settings.limits().healthChecks() != HealthChecks.NONE;
    }
}
