package frostreel.pg;

import frostreel.routing.Router;

/** Parser of servers' load reports, such as {@code inflight=7,util=0.61}. */
final class LoadReport {
    /** Absolute values from here on are treated as corrupt. */
    private static final double MAX_NUMBER = 1e15;

    private static final double US_PER_SECOND = 1e6;

    private LoadReport() {}

    /**
     * Parses a report. Unknown fields have no effect, but the value of every {@code name=value} pair must be a number.
     * Without its field, a load is NaN, the role UNKNOWN and the position 0.
     *
     * @throws PgException if a value is not a number
     */
    @SuppressWarnings("StringSplitter") // Trailing empty fields are to be dropped.
    static Router.Report parse(String text) throws PgException {
        long positionUs = 0;
        Router.Role role = Router.Role.UNKNOWN;
        double utilization = Double.NaN;
        double queued = Double.NaN;
        double inFlight = Double.NaN;
        for (String field : text.split(",")) {
            int equals = field.indexOf('=');
            if (equals < 0) { // Not a name=value pair.
                continue;
            }
            double value = parseNumber(field.substring(equals + 1));
            switch (field.substring(0, equals).trim()) {
                // x0 is the commit position in seconds, x1 is 1 on a primary.
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

    /**
     * Parses a decimal number, which may be negative.
     *
     * @throws PgException if it is malformed, or its absolute value is {@link #MAX_NUMBER} or more
     */
    static double parseNumber(String text) throws PgException {
        try {
            double number = Double.parseDouble(text.trim());
            if (Double.isFinite(number) && Math.abs(number) < MAX_NUMBER) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number outside the range.
        }
        throw new PgException("malformed or out-of-range number in a server's report");
    }
}
