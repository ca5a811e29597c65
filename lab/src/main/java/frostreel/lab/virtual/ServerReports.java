package frostreel.lab.virtual;

import frostreel.routing.Router;
import frostreel.routing.Router.Role;
import java.util.Set;

/** The positions and load reports in servers' answers: only what the deployment reports, in whole milliseconds. */
final class ServerReports {
    private static final long US_PER_MS = 1000;

    private final boolean positions;
    private final boolean any;
    private final boolean appliedTime;
    private final boolean role;
    private final boolean loadShare;

    /**
     * The reports of a deployment.
     *
     * @param positions whether answers carry the server's position
     * @param fields of load reports, of {@code x0}, {@code x1} and {@code load_share}; empty for no load reports
     */
    ServerReports(boolean positions, Set<String> fields) {
        this.positions = positions;
        any = !fields.isEmpty();
        appliedTime = fields.contains("x0");
        role = fields.contains("x1");
        loadShare = fields.contains("load_share");
    }

    /** A load report, null where the deployment has none. */
    Router.Report loadReport(Role serverRole, long positionUs, double utilization) {
        return !any
                ? null
                : new Router.Report(
                        appliedTime ? floorMs(positionUs) : 0,
                        role ? serverRole : Role.UNKNOWN,
                        loadShare ? utilization : Double.NaN,
                        Double.NaN,
                        Double.NaN);
    }

    /** The position in an answer that acknowledges no commit, rounded down; 0 where it carries none. */
    long position(long positionUs) {
        return positions ? floorMs(positionUs) : 0;
    }

    /** The position in an answer that acknowledges a commit, rounded up. */
    static long commitPosition(long positionUs) {
        return floorMs(positionUs + US_PER_MS - 1);
    }

    private static long floorMs(long us) {
        return us / US_PER_MS * US_PER_MS;
    }
}
