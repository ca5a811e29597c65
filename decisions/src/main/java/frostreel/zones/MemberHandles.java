package frostreel.zones;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The members that a router knows, by handle: a small number, so that a look-up on the way of a read costs little. */
final class MemberHandles {
    private final List<ZoneReplicas> replicasByHandle = new ArrayList<>();
    /** The budget of each member while its replicas recover. */
    private final List<TokenBucket> rampByHandle = new ArrayList<>();

    private final ArrayDeque<Integer> freeHandles = new ArrayDeque<>();

    /** Gives out a handle for a further member of these replicas. */
    int add(ZoneReplicas replicas) {
        Integer free = freeHandles.poll();
        if (free != null) {
            replicasByHandle.set(free, replicas);
            rampByHandle.set(free, new TokenBucket());
            return free;
        }
        replicasByHandle.add(replicas);
        rampByHandle.add(new TokenBucket());
        return replicasByHandle.size() - 1;
    }

    /** Takes a handle back, which may be given out again. */
    void release(int handle) {
        freeHandles.add(handle);
    }

    /** The replicas that the member belongs to. */
    ZoneReplicas replicas(int handle) {
        return replicasByHandle.get(handle);
    }

    TokenBucket ramp(int handle) {
        return rampByHandle.get(handle);
    }

    /** Sets the ramps of all members of these replicas to a level. */
    void resetRamps(long nowUs, ZoneReplicas replicas, double levelUs) {
        for (int handle = 0; handle < replicasByHandle.size(); handle++) {
            if (replicasByHandle.get(handle) == replicas) {
                rampByHandle.get(handle).reset(nowUs, levelUs);
            }
        }
    }
}
