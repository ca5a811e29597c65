package frostreel.lab.processes;

import frostreel.broker.Clock;
import frostreel.lab.rules.RunListener;
import frostreel.routing.Router.State;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.json.JSONArray;
import org.json.JSONObject;

/** Tells what the list has come to say to a pooler, from the stand-in's responses as they reach it. */
final class EndpointListRecorder implements FaultyRelay.TrafficRecorder {
    private static final Pattern HEAD = Pattern.compile("(?s)^HTTP/1\\.1 200 OK.*?Content-Length: (\\d+)" + "\r\n\r\n");
    private final Clock clock;
    private final int pooler;
    private final RunListener listener;
    /** One byte a character: the stand-in writes ASCII. */
    private final StringBuilder text = new StringBuilder();

    EndpointListRecorder(Clock clock, int pooler, RunListener listener) {
        this.clock = clock;
        this.pooler = pooler;
        this.listener = listener;
    }

    @Override
    public void hears(byte[] bytes) {
        text.append(new String(bytes, StandardCharsets.ISO_8859_1));
        for (Matcher head = HEAD.matcher(text); head.find(); head = HEAD.matcher(text)) {
            int end = head.end() + Integer.parseInt(head.group(1));
            if (text.length() < end) {
                return;
            }
            JSONArray hosts = new JSONObject(text.substring(head.end(), end)).getJSONArray("hosts");
            for (Object each : hosts) {
                JSONObject host = (JSONObject) each;
                listener.endpointUpdated(
                        clock.now(),
                        pooler,
                        host.getString("host"),
                        switch (host.getString("health")) {
                            case "Ready" -> State.UP;
                            case "Terminating" -> State.DRAINING;
                            default -> State.GONE;
                        });
            }
            text.delete(0, end);
        }
    }
}
