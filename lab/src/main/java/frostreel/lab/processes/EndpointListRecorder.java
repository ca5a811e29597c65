package frostreel.lab.processes;

import frostreel.lab.rules.RunListener;
import frostreel.routing.Router.State;
import frostreel.time.Clock;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.json.JSONArray;
import org.json.JSONObject;

/** Reports the endpoint list's updates from the agent's responses, as they reach the pooler. */
final class EndpointListRecorder implements TrafficRecorder {
    private static final Pattern HEAD = Pattern.compile("(?s)^HTTP/1\\.1 200 OK.*?Content-Length: (\\d+)" + "\r\n\r\n");
    private final Clock clock;
    private final int pooler;
    private final RunListener listener;
    /** The text that is not parsed yet, a character for each byte, as the agent writes ASCII. */
    private final StringBuilder text = new StringBuilder();

    EndpointListRecorder(Clock clock, int pooler, RunListener listener) {
        this.clock = clock;
        this.pooler = pooler;
        this.listener = listener;
    }

    @Override
    public void poolerReceived(byte[] bytes) {
        text.append(new String(bytes, StandardCharsets.ISO_8859_1));
        for (Matcher head = HEAD.matcher(text); head.find(); head = HEAD.matcher(text)) {
            int end = head.end() + Integer.parseInt(head.group(1));
            if (text.length() < end) {
                return;
            }
            report(new JSONObject(text.substring(head.end(), end)).getJSONArray("hosts"));
            text.delete(0, end);
        }
    }

    private void report(JSONArray hosts) {
        for (Object entry : hosts) {
            JSONObject host = (JSONObject) entry;
            State state = state(host.getString("health"));
            listener.endpointUpdated(clock.now(), pooler, host.getString("host"), state);
        }
    }

    private static State state(String health) {
        return switch (health) {
            case "Ready" -> State.UP;
            case "Terminating" -> State.DRAINING;
            default -> State.GONE;
        };
    }
}
