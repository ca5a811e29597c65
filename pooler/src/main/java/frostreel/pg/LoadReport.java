package frostreel.pg;

import frostreel.routing.Router;

/** Reads a server's word on itself, {@code inflight=7,util=0.61}. */
final class LoadReport {
    private LoadReport() {}

    static Router.Report parse(String text) throws PgException {
        long positionUs = 0;
        Router.Role role = Router.Role.UNKNOWN;
        double util = Double.NaN;
        double queued = Double.NaN;
        double inHand = Double.NaN;
        for (String field : text.split(",")) {
            int equals = field.indexOf('=');
            if (equals < 0) {
                continue;
            }
            double value = number(field.substring(equals + 1));
            switch (field.substring(0, equals).trim()) {
                case "x0" -> positionUs = (long) Math.floor(value * 1e6);
                case "x1" -> role = value == 1 ? Router.Role.PRIMARY : Router.Role.REPLICA;
                case "util", "load_share" -> util = value;
                case "queue", "depth" -> queued = value;
                case "inflight", "concurrent" -> inHand = value;
                default -> {}
            }
        }
        return new Router.Report(positionUs, role, util, queued, inHand);
    }

    static double number(String text) throws PgException {
        try {
            double d = Double.parseDouble(text.trim());
            if (Double.isFinite(d) && Math.abs(d) < 1e15) {
                return d;
            }
        } catch (NumberFormatException e) {
            // Told below, like a number out of range.
        }
        throw new PgException("a figure that is no number");
    }
}
