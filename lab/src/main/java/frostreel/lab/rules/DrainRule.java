package frostreel.lab.rules;

import frostreel.routing.Router.State;
import java.util.HashMap;
import java.util.Map;

/** Nothing new to a server later than the stated time after its drain or end was told. */
final class DrainRule extends Rule {
    private final long withinUs;
    private final boolean onlyDrainingBinds;
    private final Map<Integer, Map<String, Long>> toldUs = new HashMap<>();
    private final Map<String, Long> outUs = new HashMap<>();

    DrainRule(long withinUs, boolean onlyDrainingBinds) {
        super("drains and ends kept");
        this.onlyDrainingBinds = onlyDrainingBinds;
        this.withinUs = withinUs;
    }

    @Override
    public void told(long nowUs, int pooler, String server, State state) {
        Map<String, Long> own = toldUs.computeIfAbsent(pooler, p -> new HashMap<>());
        if (state == State.UP) {
            own.remove(server);
        } else if (state == State.DRAINING || !onlyDrainingBinds) {
            own.putIfAbsent(server, nowUs);
        }
    }

    @Override
    public void died(long nowUs, int pooler) {
        toldUs.remove(pooler);
    }

    @Override
    public void takenOut(long nowUs, int pooler, String server, boolean isOut) {
        if (isOut) {
            outUs.putIfAbsent(pooler + " " + server, nowUs);
        } else {
            outUs.remove(pooler + " " + server);
        }
    }

    @Override
    public void sent(long nowUs, int pooler, String id, String server) {
        Long out = outUs.get(pooler + " " + server);
        Long at = out != null ? out : toldUs.getOrDefault(pooler, Map.of()).get(server);
        if (at != null && nowUs > at + withinUs) {
            convict(
                    nowUs,
                    id + " was sent to " + server + " by pooler " + pooler + " " + (nowUs - at)
                            + " us after its end was told");
        }
    }
}
