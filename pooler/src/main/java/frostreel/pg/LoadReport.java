package frostreel.pg;

import frostreel.routing.Router;

/** Parses a server's load report, as {@code inflight=7,util=0.61}. */
final class LoadReport {
    /** Numbers of this size and beyond are taken for corrupt. */
    private static final double MAX_NUMBER = 1e15;

    private static final double US_PER_SECOND = 1e6;

    private LoadReport() {}

    /** Parses a report; unknown fields are skipped, and missing ones are NaN, UNKNOWN or 0. */
    @SuppressWarnings("StringSplitter") // Empty words at the end are meant to drop out.
    static Router.Report parse(String text) throws PgException {
        long positionUs = 0;
        Router.Role role = Router.Role.UNKNOWN;
        double utilization = Double.NaN;
        double queued = Double.NaN;
        double inFlight = Double.NaN;
        for (String field : text.split(",")) {
            int equals = field.indexOf('=');
            if (equals < 0) { // Not a name and a value.
                continue;
            }
            double value = parseNumber(field.substring(equals + 1));
            switch (field.substring(0, equals).trim()) {
                // The servers' names: x0 is the commit position in seconds, x1 is 1 at a primary.
                case "x0" -> positionUs = (long) Math.floor(value * US_PER_SECOND);
                case "x1" -> role = value == 1 ? Router.Role.PRIMARY : Router.Role.REPLICA;
                case "util", "load_share" -> utilization = value;
                case "queue", "depth" -> queued = value;
                case "inflight", "concurrent" -> inFlight = value;
                default -> {}
            }
        }
        return new Router.Report(positionUs, role, utilization, queued, inFlight);
    }

    /** Parses a decimal number, of either sign. */
    static double parseNumber(String text) throws PgException {
        try {
            double number = Double.parseDouble(text.trim());
            if (Double.isFinite(number) && Math.abs(number) < MAX_NUMBER) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Thrown below, as for a number out of range.
        }
        throw new PgException("a figure that is no number");
    }
}
