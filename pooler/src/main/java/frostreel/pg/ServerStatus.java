package frostreel.pg;

import frostreel.routing.Router;

/**
 * Role, commit position and load that a server reports along with a response. A position or load report that cannot be
 * parsed is counted and otherwise ignored, as the value in the response may still be valid; an unknown role is not
 * counted. The load report has a role and a position of its own.
 */
final class ServerStatus {
    private static final int US_PER_MS = 1000;

    private Router.Role role = Router.Role.UNKNOWN;
    private long positionUs;
    private Router.Report loadReport;
    private int malformedReports;

    /** Reads the body of a ParameterStatus message, which consists of a name and a value. */
    void acceptParameter(byte[] body) {
        try {
            int nameEnd = CStrings.terminatorIndex(body, 0);
            int valueFrom = nameEnd + 1;
            String name = CStrings.decode(body, 0, nameEnd);
            String value = CStrings.decode(body, valueFrom, CStrings.terminatorIndex(body, valueFrom));
            switch (name) {
                case "role" -> role = parseRole(value);
                case "applied_ms" -> positionUs = (long) (LoadReport.parseNumber(value) * US_PER_MS);
                case "load" -> loadReport = LoadReport.parse(value);
                default -> {}
            }
        } catch (PgException e) {
            malformedReports++;
        }
    }

    /** Reads a load report that is the value of a response. */
    void acceptLoadReport(String text) {
        try {
            loadReport = LoadReport.parse(text);
        } catch (PgException e) {
            malformedReports++;
        }
    }

    private static Router.Role parseRole(String value) {
        return switch (value) {
            case "primary" -> Router.Role.PRIMARY;
            case "replica" -> Router.Role.REPLICA;
            default -> Router.Role.UNKNOWN;
        };
    }

    Router.Role role() {
        return role;
    }

    /** Commit position from {@code applied_ms}, apart from that in the load report; 0 if none was reported. */
    long positionUs() {
        return positionUs;
    }

    /** Load report, or null if no valid one was sent. */
    Router.Report loadReport() {
        return loadReport;
    }

    int malformedReports() {
        return malformedReports;
    }
}
