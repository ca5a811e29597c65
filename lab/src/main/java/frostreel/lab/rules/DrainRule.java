package frostreel.lab.rules;

import frostreel.routing.Router.State;
import java.util.HashMap;
import java.util.Map;

/**
 * A pooler begins no attempt at a server once a stated time has passed since it was notified that the server is
 * draining, gone or suspended.
 */
final class DrainRule extends Rule {
    private final long withinUs;
    private final boolean onlyDrainingBinds;
    /** By pooler and server: since when the pooler's endpoint list forbids new attempts there. */
    private final Map<Integer, Map<String, Long>> listedSinceUs = new HashMap<>();

    private final Map<SuspendedServer, Long> suspendedSinceUs = new HashMap<>();

    private record SuspendedServer(int pooler, String server) {}

    DrainRule(long withinUs, boolean onlyDrainingBinds) {
        super("drains and ends kept");
        this.withinUs = withinUs;
        this.onlyDrainingBinds = onlyDrainingBinds;
    }

    @Override
    public void endpointUpdated(long nowUs, int pooler, String server, State state) {
        Map<String, Long> own = listedSinceUs.computeIfAbsent(pooler, number -> new HashMap<>());
        if (state == State.UP) {
            own.remove(server);
        } else if (state == State.DRAINING || !onlyDrainingBinds) {
            own.putIfAbsent(server, nowUs);
        }
    }

    @Override
    public void poolerKilled(long nowUs, int pooler) {
        listedSinceUs.remove(pooler);
    }

    @Override
    public void serverSuspended(long nowUs, int pooler, String server, boolean isSuspended) {
        if (isSuspended) {
            suspendedSinceUs.putIfAbsent(new SuspendedServer(pooler, server), nowUs);
        } else {
            suspendedSinceUs.remove(new SuspendedServer(pooler, server));
        }
    }

    @Override
    public void attemptSent(long nowUs, int pooler, String id, String server) {
        Long suspendedUs = suspendedSinceUs.get(new SuspendedServer(pooler, server));
        Long sinceUs = suspendedUs != null
                ? suspendedUs
                : listedSinceUs.getOrDefault(pooler, Map.of()).get(server);
        if (sinceUs != null && nowUs > sinceUs + withinUs) {
            recordViolation(
                    nowUs,
                    id + " was sent to " + server + " by pooler " + pooler + " " + (nowUs - sinceUs)
                            + " us after its end was told");
        }
    }
}
