package frostreel.operation;

import frostreel.routing.Router;
import frostreel.routing.Router.RequestClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Numbers the classes of requests such that a number keeps its meaning when settings change. A class that is
 * new, or whose rules have changed, gets the next number; one that returns unchanged gets its former number.
 * Not thread-safe.
 */
public final class RequestClassRegistry {
    /** How long clients may still follow the previous settings after a change. */
    public static final long TRANSITION_US = 1_200_000;

    /** The instant of a change that never was; far enough back for any interval, and no overflow. */
    private static final long LONG_AGO_US = Long.MIN_VALUE / 2;

    private final List<RequestClass> classes = new ArrayList<>();
    private Map<String, Integer> current;
    private Map<String, Integer> previous = Map.of();
    private long changedAtUs = LONG_AGO_US;

    /** Numbers the classes in force at the start, from 0 on. */
    public RequestClassRegistry(List<RequestClass> initial) {
        current = numbersByName(initial);
    }

    private Map<String, Integer> numbersByName(List<RequestClass> named) {
        Map<String, Integer> numbers = new HashMap<>();
        for (RequestClass requestClass : named) {
            numbers.put(requestClass.name(), numberFor(requestClass));
        }
        return numbers;
    }

    private int numberFor(RequestClass requestClass) {
        int known = classes.indexOf(requestClass);
        if (known >= 0) {
            return known;
        }
        classes.add(requestClass);
        return classes.size() - 1;
    }

    /** Replaces the classes in force. */
    public void change(long nowUs, List<RequestClass> replacement) {
        previous = current;
        current = numbersByName(replacement);
        changedAtUs = nowUs;
    }

    /** An immutable copy of all classes that have a number, each at the index of that number. */
    public List<RequestClass> all() {
        return List.copyOf(classes);
    }

    /**
     * The number of the class that a request belongs to. Within {@link #TRANSITION_US} of a change a request
     * may fit the class of that name in the previous settings, in the current ones, or in both; in the last
     * case the stricter of the two is chosen.
     *
     * @return null if no class of that name fits
     */
    public Integer number(long nowUs, String name, boolean write, boolean keyed) {
        Integer now = ifFitting(current.get(name), write, keyed);
        boolean inTransition = nowUs - changedAtUs < TRANSITION_US;
        Integer before = inTransition ? ifFitting(previous.get(name), write, keyed) : null;
        if (now == null || before == null) {
            return now == null ? before : now;
        }
        return isLooser(classes.get(now), classes.get(before)) ? before : now;
    }

    /** Relies on the order of {@link Router.Idempotency}: what may be retried most freely comes first. */
    private static boolean isLooser(RequestClass one, RequestClass other) {
        return one.idempotency().compareTo(other.idempotency()) < 0
                || one.windowUs() > other.windowUs()
                || one.boundUs() > other.boundUs();
    }

    private Integer ifFitting(Integer number, boolean write, boolean keyed) {
        if (number == null) {
            return null;
        }
        RequestClass requestClass = classes.get(number);
        boolean accessFits = write == (requestClass.access() == Router.Access.WRITE);
        boolean keyFits = keyed || requestClass.idempotency() != Router.Idempotency.KEYED;
        return accessFits && keyFits ? number : null;
    }
}
