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
 * The requests that wait unsent, by group, and the timer by which they are rechecked: whether they can be sent by
 * now, or have to be given up. The timer runs only while a request waits, so that an idle router costs nothing.
 */
final class WaitingRequests {
    /** The name of the timer, which event logs of the simulator hold. */
    static final String RECHECK_TIMER = "sweep";

    /** The waiting requests of one group. */
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
    /** The groups in which a request may wait, by their numbers: only these are rechecked. */
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
     * Adds a read unless it is there already. Reads are served newest first, but those that clients marked as retries
     * come after the others: part of their objective has passed, and under overload they would take the capacity
     * in which other reads still are on time.
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

    /** The request that has waited longest. */
    Optional<PendingRequest> oldest() {
        return waiting.values().stream()
                .flatMap(queues -> Stream.concat(queues.writes.stream(), queues.reads.stream()))
                .min(Comparator.comparingLong(request -> request.arrivedUs));
    }

    /** The groups in which a request may wait, as a copy, since rechecking them may change them. */
    List<Queues> groupsToRecheck() {
        return List.copyOf(waiting.values());
    }

    /** Forgets the groups in which nothing waits any more, and sets the timer anew for the rest. */
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
