package frostreel.operation;

import frostreel.routing.Router;
import frostreel.routing.Router.RequestClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns numbers to request classes that remain valid when the settings change. A class that is new, or whose rules
 * have changed, gets the next free number; one that returns unchanged gets its previous number. Not thread-safe.
 */
public final class RequestClassRegistry {
    /** Returned instead of a class number for a request that matches no class. */
    public static final int NO_CLASS = -1;

    /** How long after a settings change clients may still send requests according to the previous settings. */
    public static final long TRANSITION_US = 1_200_000;

    /** Time of the last change if there was none; half the range, so that subtracting it cannot overflow. */
    private static final long NEVER_CHANGED_US = Long.MIN_VALUE / 2;

    /** All classes that have ever been in force, indexed by class number. */
    private final List<RequestClass> classes = new ArrayList<>();
    /** Class numbers by name in the current settings. */
    private Map<String, Integer> current;

    /** Class numbers by name in the previous settings. */
    private Map<String, Integer> previous = Map.of();

    private long changedAtUs = NEVER_CHANGED_US;

    /** Assigns numbers from 0 to the initial classes. */
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

    /** Puts other classes in force. */
    public void replaceClasses(long nowUs, List<RequestClass> replacement) {
        previous = current;
        current = numbersByName(replacement);
        changedAtUs = nowUs;
    }

    /** An immutable copy of all classes that have a number, indexed by that number. */
    public List<RequestClass> all() {
        return List.copyOf(classes);
    }

    /**
     * The class number of a request. Within {@link #TRANSITION_US} of a change, a request may match the class of that
     * name in the previous settings, in the current settings or in both; if both match, the stricter class is chosen.
     *
     * @param write whether the request writes
     * @param keyed whether the request carries an idempotency key
     * @return {@link #NO_CLASS} if no class of that name matches
     */
    public int classNumber(long nowUs, String name, boolean write, boolean keyed) {
        int fromCurrent = fittingNumber(current, name, write, keyed);
        boolean inTransition = nowUs - changedAtUs < TRANSITION_US;
        if (!inTransition) {
            return fromCurrent;
        }
        int fromPrevious = fittingNumber(previous, name, write, keyed);
        return stricter(fromCurrent, fromPrevious);
    }

    private int fittingNumber(Map<String, Integer> numbers, String name, boolean write, boolean keyed) {
        int number = numbers.getOrDefault(name, NO_CLASS);
        boolean fits = number != NO_CLASS && fits(classes.get(number), write, keyed);
        return fits ? number : NO_CLASS;
    }

    private static boolean fits(RequestClass requestClass, boolean write, boolean keyed) {
        boolean accessFits = write == (requestClass.access() == Router.Access.WRITE);
        boolean keyFits = keyed || requestClass.idempotency() != Router.Idempotency.KEYED;
        return accessFits && keyFits;
    }

    private int stricter(int fromCurrent, int fromPrevious) {
        if (fromPrevious == NO_CLASS) {
            return fromCurrent;
        }
        if (fromCurrent == NO_CLASS) {
            return fromPrevious;
        }
        return isLooser(classes.get(fromCurrent), classes.get(fromPrevious)) ? fromPrevious : fromCurrent;
    }

    /** Relies on the order of {@link Router.Idempotency}, from freely retryable to not retryable. */
    private static boolean isLooser(RequestClass candidate, RequestClass other) {
        return candidate.idempotency().compareTo(other.idempotency()) < 0
                || candidate.deduplicationWindowUs() > other.deduplicationWindowUs()
                || candidate.stalenessBoundUs() > other.stalenessBoundUs();
    }
}
