package frostreel.lab.virtual;

import org.json.JSONObject;

/** One incarnation of a pooler of {@link GeneratedPoolers}. */
final class GeneratedPooler {
    final int number;
    private final String name;
    private final StringBuilder batch;
    private boolean down;

    /** {@code batch}: takes the messages to it. */
    GeneratedPooler(int number, StringBuilder batch) {
        this.number = number;
        this.batch = batch;
        name = "proxy/" + number;
    }

    /** Sends it a message; no effect once it is down. */
    void receive(JSONObject message) {
        if (!down) {
            batch.append(message.put("i", name)).append('\n');
        }
    }

    boolean isDown() {
        return down;
    }

    void stop() {
        receive(WireFormat.message("Down"));
        down = true;
    }
}
