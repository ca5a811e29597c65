package frostreel.pg;

import frostreel.routing.Router;

/**
 * What a server reports of itself beside its response: its role, its commit position and its load. A report that cannot
 * be parsed is counted and otherwise ignored, as the value that comes with it is valid all the same.
 */
final class ServerStatus {
    private static final int US_PER_MS = 1000;

    private Router.Role role = Router.Role.UNKNOWN;
    private long positionUs;
    private Router.Report loadReport;
    private int malformedReports;

    /** Takes the body of a ParameterStatus message, which holds a name and a value. */
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

    /** Takes the text of a load report that is the value of a response. */
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

    /** The commit position, 0 where none was reported. */
    long positionUs() {
        return positionUs;
    }

    /** The load report, null where none was sent. */
    Router.Report loadReport() {
        return loadReport;
    }

    int malformedReports() {
        return malformedReports;
    }
}
