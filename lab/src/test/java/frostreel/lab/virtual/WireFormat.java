package frostreel.lab.virtual;

import java.math.BigDecimal;
import org.json.JSONObject;

/** The simulator's wire as {@link WireEventGenerator} speaks it: messages, times and the numbers of outcomes. */
final class WireFormat {
    static final int OK = 0;
    static final int CANCELLED = 1;
    static final int TIMEOUT = 4;
    static final int WRONG_ROLE_OR_STALE = 5;
    static final int REJECTED = 8;
    static final int NOT_SENT = 9;
    static final int RESET = 10;
    static final int ERROR = 13;
    static final int CONNECT_FAILED = 14;

    private WireFormat() {}

    static JSONObject message(String type) {
        return new JSONObject().put("t", type);
    }

    static long micros(double seconds) {
        return Math.round(seconds * 1e6);
    }

    static BigDecimal seconds(long micros) {
        return BigDecimal.valueOf(micros, 6);
    }
}
