package frostreel.routing;

import frostreel.routing.Router.Actions;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Queues of unsent requests by group, and the timer for rechecking whether these can be sent or must be given up. The
 * timer runs only while a request is queued, so that an idle router costs nothing.
 */
final class WaitingRequests {
    /** Name of the timer; event logs of the simulator contain it. */
    static final String RECHECK_TIMER = "sweep";

    /** Queued requests of one group, in the order in which they were queued except for reads marked as retries. */
    static final class Queues {
        final GroupState group;
        final List<PendingRequest> writes = new ArrayList<>();
        final List<PendingRequest> reads = new ArrayList<>();

        private Queues(GroupState group) {
            this.group = group;
        }

        private boolean isEmpty() {
            return writes.isEmpty() && reads.isEmpty();
        }
    }

    private final Actions actions;
    private final long recheckIntervalUs;
    private final IdentityHashMap<GroupState, Queues> byGroup = new IdentityHashMap<>();
    /** Queues that may contain requests, by group number; only these are rechecked. */
    private final Map<Integer, Queues> waiting = new TreeMap<>();

    private boolean timerSet;

    WaitingRequests(Actions actions, long recheckIntervalUs) {
        this.actions = actions;
        this.recheckIntervalUs = recheckIntervalUs;
    }

    Queues of(GroupState group) {
        return byGroup.computeIfAbsent(group, Queues::new);
    }

    /** Appends a write, or a read that needs the primary. */
    void addWrite(PendingRequest request) {
        Queues queues = of(request.group);
        queues.writes.add(request);
        scheduleRecheck(queues);
    }

    /**
     * Queues a read unless it is queued already. Reads are served newest first, but those that clients marked as
     * retries after all others: part of their latency objective has passed, and under overload they would take
     * capacity from reads that can still be on time.
     */
    void addRead(PendingRequest request) {
        Queues queues = of(request.group);
        if (!request.inReadQueue && !queues.reads.contains(request)) {
            queues.reads.add(request.original.repeated() ? 0 : queues.reads.size(), request);
            scheduleRecheck(queues);
        }
        request.inReadQueue = true;
    }

    void remove(PendingRequest request) {
        Queues queues = of(request.group);
        queues.writes.remove(request);
        queues.reads.remove(request);
    }

    /** The queued request that arrived first. */
    Optional<PendingRequest> oldest() {
        return waiting.values().stream()
                .flatMap(queues -> Stream.concat(queues.writes.stream(), queues.reads.stream()))
                .min(Comparator.comparingLong(request -> request.arrivedUs));
    }

    /** A copy of the queues that may contain requests, since rechecking them may change the original. */
    List<Queues> groupsToRecheck() {
        return List.copyOf(waiting.values());
    }

    /** Drops empty queues from the recheck, and sets the timer again if any are left. */
    void finishRecheck() {
        waiting.values().removeIf(Queues::isEmpty);
        timerSet = !waiting.isEmpty();
        if (timerSet) {
            actions.setTimer(recheckIntervalUs, RECHECK_TIMER);
        }
    }

    private void scheduleRecheck(Queues queues) {
        waiting.put(queues.group.number, queues);
        if (!timerSet) {
            timerSet = true;
            actions.setTimer(recheckIntervalUs, RECHECK_TIMER);
        }
    }
}
