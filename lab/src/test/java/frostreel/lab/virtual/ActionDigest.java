package frostreel.lab.virtual;

import frostreel.routing.Router;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;

/** A digest of all actions that the routers of a run take, in their order, and how many there were of each. */
final class ActionDigest {
    private final MessageDigest digest = sha256();
    private final Map<String, Integer> counts = new TreeMap<>();
    private int routers;

    static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** The digest and the counts, as a line. */
    static String line(byte[] digest, Map<String, Integer> counts) {
        return HexFormat.of().formatHex(digest) + " " + counts;
    }

    /** Makes routers as before, and listens to what they ask for. */
    BiFunction<Router.Settings, Router.Actions, Router> listenTo(
            BiFunction<Router.Settings, Router.Actions, Router> maker) {
        return (settings, actions) -> maker.apply(settings, new Listener(routers++, actions));
    }

    @Override
    public String toString() {
        return line(digest.digest(), counts);
    }

    private final class Listener implements Router.Actions {
        private final int router;
        private final Router.Actions to;

        Listener(int router, Router.Actions to) {
            this.router = router;
            this.to = to;
        }

        private void took(String action, Object... details) {
            counts.merge(action, 1, Integer::sum);
            StringBuilder line = new StringBuilder().append(router).append(' ').append(action);
            for (Object detail : details) {
                line.append(' ').append(detail);
            }
            digest.update(line.append('\n').toString().getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void send(String requestId, String memberId, long timeoutUs) {
            took("send", requestId, memberId, timeoutUs);
            to.send(requestId, memberId, timeoutUs);
        }

        @Override
        public void reject(String requestId, long retryAfterUs) {
            took("reject", requestId, retryAfterUs);
            to.reject(requestId, retryAfterUs);
        }

        @Override
        public void fail(String requestId) {
            took("fail", requestId);
            to.fail(requestId);
        }

        @Override
        public void cancel(String requestId, int attempt) {
            took("cancel", requestId, attempt);
            to.cancel(requestId, attempt);
        }

        @Override
        public void checkHealth(String memberId) {
            took("probe", memberId);
            to.checkHealth(memberId);
        }

        @Override
        public void setTimer(long inUs, String name) {
            took("timer", inUs, name);
            to.setTimer(inUs, name);
        }

        @Override
        public void log(String text) {
            took("log", text);
            to.log(text);
        }

        @Override
        public void subscribe() {
            took("subscribe");
            to.subscribe();
        }
    }
}
