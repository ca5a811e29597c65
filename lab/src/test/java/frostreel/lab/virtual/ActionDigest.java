package frostreel.lab.virtual;

import frostreel.routing.Router;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;

/** The digest of all actions of a run's routers, in their order, with the number of actions of each kind. */
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

    /** The digest and the counts, as one line. */
    static String line(byte[] digest, Map<String, Integer> counts) {
        return HexFormat.of().formatHex(digest) + " " + counts;
    }

    /** Routers of which every action is recorded before it is taken. */
    BiFunction<Router.Settings, Router.Actions, Router> recording(
            BiFunction<Router.Settings, Router.Actions, Router> original) {
        return (settings, actions) -> original.apply(settings, new RecordingActions(routers++, actions));
    }

    @Override
    public String toString() {
        return line(digest.digest(), counts);
    }

    private final class RecordingActions implements Router.Actions {
        private final int router;
        private final Router.Actions target;

        RecordingActions(int router, Router.Actions target) {
            this.router = router;
            this.target = target;
        }

        private void recordAction(String action, Object... details) {
            counts.merge(action, 1, Integer::sum);
            StringBuilder line = new StringBuilder().append(router).append(' ').append(action);
            for (Object detail : details) {
                line.append(' ').append(detail);
            }
            digest.update(line.append('\n').toString().getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void send(String requestId, String memberId, long timeoutUs) {
            recordAction("send", requestId, memberId, timeoutUs);
            target.send(requestId, memberId, timeoutUs);
        }

        @Override
        public void reject(String requestId, long retryAfterUs) {
            recordAction("reject", requestId, retryAfterUs);
            target.reject(requestId, retryAfterUs);
        }

        @Override
        public void fail(String requestId) {
            recordAction("fail", requestId);
            target.fail(requestId);
        }

        @Override
        public void cancel(String requestId, int attempt) {
            recordAction("cancel", requestId, attempt);
            target.cancel(requestId, attempt);
        }

        @Override
        public void checkHealth(String memberId) {
            recordAction("probe", memberId);
            target.checkHealth(memberId);
        }

        @Override
        public void setTimer(long inUs, String name) {
            recordAction("timer", inUs, name);
            target.setTimer(inUs, name);
        }

        @Override
        public void log(String text) {
            recordAction("log", text);
            target.log(text);
        }

        @Override
        public void subscribe() {
            recordAction("subscribe");
            target.subscribe();
        }
    }
}
