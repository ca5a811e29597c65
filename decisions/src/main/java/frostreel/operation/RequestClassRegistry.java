package frostreel.operation;

import frostreel.routing.Router;
import frostreel.routing.Router.RequestClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Assigns numbers to request classes that remain valid when the settings change. A class that is new, or whose rules
 * have changed, gets the next free number; one that returns unchanged gets its previous number.
 *
 * <p>For {@link #TRANSITION_US} after a change, clients may still follow the replaced settings. The settings may change
 * again within that time, so a request may follow any of several. It gets the strictest combination of the classes that
 * its client may have followed when the request arrived. Times are microseconds on one clock. Not thread-safe.
 */
public final class RequestClassRegistry {
    /** Returned instead of a class number for a request that matches no class. */
    public static final int NO_CLASS = -1;

    /** How long after a settings change clients may still send requests according to the previous settings. */
    public static final long TRANSITION_US = 1_200_000;

    /** All classes that have ever been in force or are combinations of those, indexed by class number. */
    private final List<RequestClass> classes = new ArrayList<>();
    /** Class numbers by name in settings that were replaced. */
    private final SupersededValues<Map<String, Integer>> superseded = new SupersededValues<>();
    /** Class numbers by name in the current settings. */
    private Map<String, Integer> current;

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

    /**
     * Adds classes that were in force in an earlier process of this pooler, before any change in this one; called in
     * the order of the times.
     *
     * @param supersededAtUs when they were replaced
     */
    public void addSuperseded(long supersededAtUs, List<RequestClass> earlier) {
        superseded.supersede(numbersByName(earlier), supersededAtUs);
        numberCombinations();
    }

    /** Puts other classes in force. */
    public void replaceClasses(long nowUs, List<RequestClass> replacement) {
        Map<String, Integer> next = numbersByName(replacement);
        if (next.equals(current)) {
            return;
        }
        superseded.forgetUntil(nowUs - TRANSITION_US - longestDeadlineUs());
        superseded.supersede(current, nowUs);
        current = next;
        numberCombinations();
    }

    /** A request that arrived earlier than this before its class is looked up has expired. */
    private long longestDeadlineUs() {
        return classes.stream().mapToLong(RequestClass::deadlineUs).max().orElse(0);
    }

    /**
     * Assigns numbers to all combinations that {@link #classNumber} may return until the next change, as the router has
     * to know every class in advance.
     */
    private void numberCombinations() {
        List<Map<String, Integer>> earlier = superseded.all();
        for (int from = 0; from < earlier.size(); from++) {
            List<Map<String, Integer>> followed = earlier.subList(from, earlier.size());
            for (String name : names(followed)) {
                strictestNumber(followed, name, false, false);
                strictestNumber(followed, name, false, true);
                strictestNumber(followed, name, true, false);
                strictestNumber(followed, name, true, true);
            }
        }
    }

    private Set<String> names(List<Map<String, Integer>> followed) {
        Set<String> names = new HashSet<>(current.keySet());
        followed.forEach(numbers -> names.addAll(numbers.keySet()));
        return names;
    }

    /** An immutable copy of all classes that have a number, indexed by that number. */
    public List<RequestClass> all() {
        return List.copyOf(classes);
    }

    /**
     * The class number of a request. Its client may have followed the current settings, or any that were replaced less
     * than {@link #TRANSITION_US} before the request arrived; of all classes of that name that match, the strictest
     * combination is chosen.
     *
     * @param arrivedUs when the request arrived, which may be before the latest change
     * @param write whether the request writes
     * @param keyed whether the request carries an idempotency key
     * @return {@link #NO_CLASS} if no class of that name matches
     */
    public int classNumber(long arrivedUs, String name, boolean write, boolean keyed) {
        long followedAfterUs = arrivedUs - TRANSITION_US;
        return superseded.anyAfter(followedAfterUs)
                ? strictestNumber(superseded.after(followedAfterUs), name, write, keyed)
                : matchingNumber(current, name, write, keyed);
    }

    /** Combines the matching classes of the current settings and of earlier ones, ordered from the oldest. */
    private int strictestNumber(List<Map<String, Integer>> earlier, String name, boolean write, boolean keyed) {
        int strictest = matchingNumber(current, name, write, keyed);
        for (int i = earlier.size() - 1; i >= 0; i--) {
            strictest = stricter(strictest, matchingNumber(earlier.get(i), name, write, keyed));
        }
        return strictest;
    }

    private int matchingNumber(Map<String, Integer> numbers, String name, boolean write, boolean keyed) {
        int number = numbers.getOrDefault(name, NO_CLASS);
        boolean matches = number != NO_CLASS && matches(classes.get(number), write, keyed);
        return matches ? number : NO_CLASS;
    }

    private static boolean matches(RequestClass requestClass, boolean write, boolean keyed) {
        boolean accessMatches = write == (requestClass.access() == Router.Access.WRITE);
        boolean keyMatches = keyed || requestClass.idempotency() != Router.Idempotency.KEYED;
        return accessMatches && keyMatches;
    }

    private int stricter(int newer, int older) {
        if (older == NO_CLASS || newer == older) {
            return newer;
        }
        if (newer == NO_CLASS) {
            return older;
        }
        return numberFor(StrictestClass.of(classes.get(newer), classes.get(older)));
    }
}
