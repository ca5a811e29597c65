package frostreel.zones;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Maps the router's member handles to replicas. Handles are small integers, so that a lookup for a read is cheap. */
final class MemberHandles {
    private final List<ZoneReplicas> replicasByHandle = new ArrayList<>();
    /** Ramp budget of each member, used while its replicas recover. */
    private final List<TokenBucket> rampByHandle = new ArrayList<>();

    private final ArrayDeque<Integer> freeHandles = new ArrayDeque<>();

    /** Returns a handle for another member of these replicas. */
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

    /** Releases a handle, which may then be reused. */
    void release(int handle) {
        freeHandles.add(handle);
    }

    /** The replicas to which the member belongs. */
    ZoneReplicas replicas(int handle) {
        return replicasByHandle.get(handle);
    }

    TokenBucket ramp(int handle) {
        return rampByHandle.get(handle);
    }

    /** Sets the ramp budgets of all members of these replicas to a level. */
    void resetRamps(long nowUs, ZoneReplicas replicas, double levelUs) {
        for (int handle = 0; handle < replicasByHandle.size(); handle++) {
            if (replicasByHandle.get(handle) == replicas) {
                rampByHandle.get(handle).reset(nowUs, levelUs);
            }
        }
    }
}
