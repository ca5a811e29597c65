package frostreel.simulator;

import frostreel.routing.Router;
import java.math.BigDecimal;
import org.json.JSONObject;

/** Writes the actions of one simulated instance as messages, one JSON object per line. */
final class ActionWriter implements Router.Actions {
    private static final int MICROSECOND_DIGITS = 6;
    private final String instance;
    private final StringBuilder out;

    /**
     * Creates a writer for one instance.
     *
     * @param instance name of the instance, which every message contains
     * @param out collects the messages of a batch; shared by all instances
     */
    ActionWriter(String instance, StringBuilder out) {
        this.instance = instance;
        this.out = out;
    }

    @Override
    public void send(String requestId, String memberId, long timeoutUs) {
        begin("PassOn");
        text("xid", requestId);
        text("member", memberId);
        seconds("tryForS", timeoutUs);
        end();
    }

    @Override
    public void reject(String requestId, long retryAfterUs) {
        begin("OverloadReply");
        text("xid", requestId);
        seconds("coolDownS", retryAfterUs);
        end();
    }

    @Override
    public void fail(String requestId) {
        begin("Surrender");
        text("xid", requestId);
        end();
    }

    @Override
    public void cancel(String requestId, int attempt) {
        begin("StopAttempt");
        text("xid", requestId);
        key("leg");
        out.append(attempt);
        end();
    }

    @Override
    public void checkHealth(String memberId) {
        begin("HealthCheck");
        text("member", memberId);
        end();
    }

    @Override
    public void setTimer(long inUs, String name) {
        begin("SetTimer");
        seconds("inS", inUs);
        text("ctx", name);
        end();
    }

    @Override
    public void log(String text) {
        begin("JournalLine");
        text("bodyText", text);
        end();
    }

    @Override
    public void subscribe() {
        begin("StreamChanges");
        key("active");
        out.append(true);
        end();
    }

    /** Reports an exception that the router of this instance has thrown. */
    void reportException(String description) {
        begin("Fault");
        text("bodyText", description);
        end();
    }

    private void begin(String type) {
        out.append("{\"t\":\"").append(type).append("\",\"i\":").append(JSONObject.quote(instance));
    }

    private void key(String key) {
        out.append(",\"").append(key).append("\":");
    }

    private void text(String key, String value) {
        key(key);
        out.append(JSONObject.quote(value));
    }

    private void seconds(String key, long us) {
        key(key);
        out.append(BigDecimal.valueOf(us, MICROSECOND_DIGITS).toPlainString());
    }

    private void end() {
        out.append("}\n");
    }
}
