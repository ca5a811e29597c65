package frostreel.operation;

import frostreel.routing.Router;
import frostreel.routing.Router.RequestClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The classes of requests under numbers that never change their meaning, though settings change: a class that
 * is new, or has other rules than before, gets the next number, and one that comes back as it was its old
 * one.
 */
public final class RequestClassRegistry {
    /** For so long after a change clients may still speak by the old settings. */
    public static final long CHANGE_US = 1_200_000;

    private final List<RequestClass> all = new ArrayList<>();
    private Map<String, Integer> current;
    private Map<String, Integer> before = Map.of();
    private long changedUs = Long.MIN_VALUE / 2;

    public RequestClassRegistry(List<RequestClass> classes) {
        current = numbered(classes);
    }

    private Map<String, Integer> numbered(List<RequestClass> classes) {
        Map<String, Integer> numbers = new HashMap<>();
        for (RequestClass c : classes) {
            int number = all.indexOf(c);
            if (number < 0) {
                number = all.size();
                all.add(c);
            }
            numbers.put(c.name(), number);
        }
        return numbers;
    }

    /** Goes over to other classes. */
    public void change(long nowUs, List<RequestClass> classes) {
        before = current;
        current = numbered(classes);
        changedUs = nowUs;
    }

    /** All that have a number, by it; what is returned never changes. */
    public List<RequestClass> all() {
        return List.copyOf(all);
    }

    /**
     * The class under which a request comes in, null where there is none that it fits. Shortly after a change
     * that is the old one where only that fits, and where both do, the one that permits less.
     */
    public Integer number(long nowUs, String name, boolean write, boolean keyed) {
        Integer now = fitting(current.get(name), write, keyed);
        Integer then = nowUs - changedUs >= CHANGE_US ? null : fitting(before.get(name), write, keyed);
        if (now == null || then == null) {
            return now == null ? then : now;
        }
        RequestClass a = all.get(now);
        RequestClass b = all.get(then);
        boolean looser = a.idempotency().ordinal() < b.idempotency().ordinal()
                || a.windowUs() > b.windowUs()
                || a.boundUs() > b.boundUs();
        return looser ? then : now;
    }

    private Integer fitting(Integer number, boolean write, boolean keyed) {
        if (number == null) {
            return null;
        }
        RequestClass c = all.get(number);
        boolean fits =
                write == (c.access() == Router.Access.WRITE) && (keyed || c.idempotency() != Router.Idempotency.KEYED);
        return fits ? number : null;
    }
}
