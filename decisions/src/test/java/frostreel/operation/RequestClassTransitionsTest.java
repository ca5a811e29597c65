package frostreel.operation;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Router.Access;
import frostreel.routing.Router.DeduplicationScope;
import frostreel.routing.Router.Idempotency;
import frostreel.routing.Router.RequestClass;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against rules that are looser than those which a client may have followed, after up to five changes of the
 * settings within five seconds. Settings and requests are drawn at random from a seed.
 */
class RequestClassTransitionsTest {
    private static final int SEEDS = 3000;
    private static final int MAX_CHANGES = 5;
    private static final int REQUESTS = 40;
    private static final long CHANGES_WITHIN_US = 5_000_000;
    private static final long DEADLINE_US = 3_000_000;
    private static final List<String> NAMES = List.of("a", "b");
    private static final long[] WINDOWS_US = {500_000, 3_000_000};
    private static final long[] BOUNDS_US = {200_000, 900_000};

    /** Settings and the time from which they are in force. */
    private record InForce(long fromUs, List<RequestClass> classes) {}

    private static RequestClass drawClass(SplittableRandom random, String name) {
        Access access = Access.values()[random.nextInt(Access.values().length)];
        return new RequestClass(
                name,
                access,
                Idempotency.values()[random.nextInt(Idempotency.values().length)],
                DeduplicationScope.values()[random.nextInt(DeduplicationScope.values().length)],
                WINDOWS_US[random.nextInt(WINDOWS_US.length)],
                access == Access.BOUNDED ? BOUNDS_US[random.nextInt(BOUNDS_US.length)] : 0,
                400_000,
                DEADLINE_US,
                1,
                0);
    }

    private static List<RequestClass> drawClasses(SplittableRandom random) {
        List<RequestClass> classes = new ArrayList<>();
        for (String name : NAMES) {
            if (random.nextInt(4) > 0) {
                classes.add(drawClass(random, name));
            }
        }
        return classes;
    }

    @Test
    void noRequestGetsRulesLooserThanItsClientMayHaveFollowed() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<InForce> history = new ArrayList<>(List.of(new InForce(Long.MIN_VALUE, drawClasses(random))));
            RequestClassRegistry registry =
                    new RequestClassRegistry(history.get(0).classes());
            int changes = 1 + random.nextInt(MAX_CHANGES);
            long[] atUs = random.longs(changes, 0, CHANGES_WITHIN_US).sorted().toArray();
            for (long changeUs : atUs) {
                history.add(new InForce(changeUs, drawClasses(random)));
                registry.replaceClasses(
                        changeUs, history.get(history.size() - 1).classes());
                checkRequestsAfter(changeUs, seed, random, history, registry);
            }
        }
    }

    private static void checkRequestsAfter(
            long changeUs, int seed, SplittableRandom random, List<InForce> history, RequestClassRegistry registry) {
        List<RequestClass> knownToRouter = registry.all();
        for (int i = 0; i < REQUESTS; i++) {
            // A request may also have arrived before the change, and waited behind another one.
            long arrivedUs = changeUs + random.nextLong(-DEADLINE_US, 2 * RequestClassRegistry.TRANSITION_US);
            String name = NAMES.get(random.nextInt(NAMES.size()));
            boolean write = random.nextBoolean();
            boolean keyed = random.nextBoolean();
            int number = registry.classNumber(arrivedUs, name, write, keyed);
            List<RequestClass> followed = matching(followedAt(history, arrivedUs), name, write, keyed);
            String description = "seed " + seed + ", arrived at " + arrivedUs + ", class " + name;
            if (number == RequestClassRegistry.NO_CLASS) {
                assertThat(followed).as(description).isEmpty();
                continue;
            }
            assertThat(number).as(description).isLessThan(knownToRouter.size());
            RequestClass given = knownToRouter.get(number);
            for (RequestClass each : followed) {
                assertThat(isLooser(given, each))
                        .as("%s: %s is looser than %s", description, given, each)
                        .isFalse();
            }
        }
    }

    /** The settings that were in force at any time in the transition before the arrival. */
    private static List<InForce> followedAt(List<InForce> history, long arrivedUs) {
        List<InForce> followed = new ArrayList<>();
        for (int i = 0; i < history.size(); i++) {
            boolean began = history.get(i).fromUs() <= arrivedUs;
            boolean replacedBefore = i + 1 < history.size()
                    && history.get(i + 1).fromUs() <= arrivedUs - RequestClassRegistry.TRANSITION_US;
            if (began && !replacedBefore) {
                followed.add(history.get(i));
            }
        }
        return followed;
    }

    private static List<RequestClass> matching(List<InForce> followed, String name, boolean write, boolean keyed) {
        return followed.stream()
                .flatMap(settings -> settings.classes().stream())
                .filter(each -> each.name().equals(name))
                .filter(each -> write == (each.access() == Access.WRITE))
                .filter(each -> keyed || each.idempotency() != Idempotency.KEYED)
                .toList();
    }

    /** Whether the rules allow anything that the others do not, rule by rule. */
    private static boolean isLooser(RequestClass given, RequestClass followed) {
        return allowsMoreRetries(given, followed) || allowsOlderData(given, followed);
    }

    private static boolean allowsMoreRetries(RequestClass given, RequestClass followed) {
        return switch (followed.idempotency()) {
            case IDEMPOTENT -> false;
            case NON_IDEMPOTENT -> given.idempotency() != Idempotency.NON_IDEMPOTENT;
            case KEYED ->
                given.idempotency() == Idempotency.IDEMPOTENT
                        || (given.idempotency() == Idempotency.KEYED
                                && (given.deduplicationWindowUs() > followed.deduplicationWindowUs()
                                        || allowsMoreMembers(
                                                given.deduplicationScope(), followed.deduplicationScope())));
        };
    }

    private static boolean allowsMoreMembers(DeduplicationScope given, DeduplicationScope followed) {
        return switch (followed) {
            case ALL -> false;
            case GROUP -> given == DeduplicationScope.ALL;
            case ZONE -> given != DeduplicationScope.ZONE;
        };
    }

    private static boolean allowsOlderData(RequestClass given, RequestClass followed) {
        return switch (followed.access()) {
            case ANY, WRITE -> false;
            case FRESH -> given.access() != Access.FRESH;
            case SESSION -> given.access() != Access.SESSION && given.access() != Access.FRESH;
            case BOUNDED ->
                given.access() != Access.FRESH
                        && !(given.access() == Access.BOUNDED
                                && given.stalenessBoundUs() <= followed.stalenessBoundUs());
        };
    }

    private static RequestClass postWith(DeduplicationScope scope, long windowUs) {
        return new RequestClass(
                "post", Access.WRITE, Idempotency.KEYED, scope, windowUs, 0, 400_000, DEADLINE_US, 1, 0);
    }

    private static RequestClass readWith(Access access, long boundUs) {
        return new RequestClass(
                "read",
                access,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.GROUP,
                0,
                boundUs,
                400_000,
                DEADLINE_US,
                1,
                0);
    }

    /** Guards against a wider deduplication scope, which was not compared, and a window that hid the effect. */
    @ParameterizedTest
    @CsvSource({"GROUP, ALL, GROUP", "ALL, GROUP, GROUP", "ZONE, GROUP, ZONE", "ALL, ZONE, ZONE", "ALL, ALL, ALL"})
    void takesTheNarrowerScopeAndTheShorterWindow(
            DeduplicationScope before, DeduplicationScope after, DeduplicationScope expected) {
        RequestClassRegistry registry = new RequestClassRegistry(List.of(postWith(before, 3_000_000)));
        registry.replaceClasses(0, List.of(postWith(after, 1_000_000)));

        RequestClass given = registry.all().get(registry.classNumber(0, "post", true, true));

        assertThat(given).isEqualTo(postWith(expected, 1_000_000));
    }

    /** Guards against reads that lose the freshness which their client relies on, as its kind was not compared. */
    @ParameterizedTest
    @CsvSource({
        "SESSION, ANY, SESSION",
        "ANY, SESSION, SESSION",
        "FRESH, ANY, FRESH",
        "SESSION, FRESH, FRESH",
        "BOUNDED, ANY, BOUNDED",
        "SESSION, BOUNDED, FRESH"
    })
    void takesTheFresherOfTwoReads(Access before, Access after, Access expected) {
        RequestClassRegistry registry =
                new RequestClassRegistry(List.of(readWith(before, before == Access.BOUNDED ? 1_000 : 0)));
        registry.replaceClasses(0, List.of(readWith(after, after == Access.BOUNDED ? 1_000 : 0)));

        RequestClass given = registry.all().get(registry.classNumber(0, "read", false, false));

        assertThat(given).isEqualTo(readWith(expected, expected == Access.BOUNDED ? 1_000 : 0));
    }
}
