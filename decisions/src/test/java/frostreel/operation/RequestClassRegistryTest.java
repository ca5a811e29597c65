package frostreel.operation;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Router.Access;
import frostreel.routing.Router.DeduplicationScope;
import frostreel.routing.Router.Idempotency;
import frostreel.routing.Router.RequestClass;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the numbering of request classes across settings changes. */
class RequestClassRegistryTest {
    private static final long IN_TRANSITION_US = RequestClassRegistry.TRANSITION_US - 1;
    private static final long AFTER_TRANSITION_US = RequestClassRegistry.TRANSITION_US;

    private static RequestClass requestClass(String name, Access access, Idempotency idempotency) {
        return new RequestClass(
                name, access, idempotency, DeduplicationScope.GROUP, 3_000_000, 0, 100_000, 400_000, 1, 0);
    }

    private final RequestClass read = requestClass("read", Access.ANY, Idempotency.IDEMPOTENT);
    private final RequestClass post = requestClass("post", Access.WRITE, Idempotency.KEYED);
    private final RequestClassRegistry registry = new RequestClassRegistry(List.of(read, post));

    private int read(long nowUs, String name) {
        return registry.classNumber(nowUs, name, false, false);
    }

    private int write(long nowUs, String name) {
        return registry.classNumber(nowUs, name, true, false);
    }

    private int keyedWrite(long nowUs, String name) {
        return registry.classNumber(nowUs, name, true, true);
    }

    @Test
    void servesAddedClassesAtOnceAndDroppedOnesDuringTheTransition() {
        registry.replaceClasses(0, List.of(post, requestClass("new", Access.WRITE, Idempotency.NON_IDEMPOTENT)));
        assertThat(write(0, "new")).isEqualTo(2);
        assertThat(keyedWrite(0, "post"))
                .as("an unchanged class keeps its number")
                .isEqualTo(1);
        assertThat(read(IN_TRANSITION_US, "read")).isZero();
        assertThat(read(AFTER_TRANSITION_US, "read")).isEqualTo(RequestClassRegistry.NO_CLASS);
        assertThat(registry.all()).hasSize(3);
    }

    @Test
    void choosesTheStricterOfTwoClassesOfOneNameDuringTheTransition() {
        registry.replaceClasses(0, List.of(read, requestClass("post", Access.WRITE, Idempotency.IDEMPOTENT)));
        assertThat(keyedWrite(IN_TRANSITION_US, "post"))
                .as("KEYED is stricter than IDEMPOTENT")
                .isEqualTo(1);
        assertThat(write(IN_TRANSITION_US, "post"))
                .as("only the current class matches")
                .isEqualTo(2);
        assertThat(keyedWrite(AFTER_TRANSITION_US, "post")).isEqualTo(2);
        registry.replaceClasses(
                AFTER_TRANSITION_US, List.of(read, requestClass("post", Access.WRITE, Idempotency.NON_IDEMPOTENT)));
        assertThat(write(AFTER_TRANSITION_US, "post")).isEqualTo(3);
    }

    @Test
    void distinguishesReadsAndWritesOfOneClassName() {
        registry.replaceClasses(0, List.of(requestClass("read", Access.WRITE, Idempotency.NON_IDEMPOTENT), post));
        assertThat(read(IN_TRANSITION_US, "read")).isZero();
        assertThat(write(IN_TRANSITION_US, "read")).isEqualTo(2);
        assertThat(read(AFTER_TRANSITION_US, "read")).isEqualTo(RequestClassRegistry.NO_CLASS);
    }

    /** Guards against writes that run twice: a second change made the registry forget the classes before the first. */
    @Test
    void keepsAllClassesThatClientsMayFollowAcrossSeveralChanges() {
        registry.replaceClasses(0, List.of(read, requestClass("refund", Access.WRITE, Idempotency.NON_IDEMPOTENT)));
        registry.replaceClasses(
                AFTER_TRANSITION_US, List.of(read, requestClass("refund", Access.WRITE, Idempotency.IDEMPOTENT)));
        registry.replaceClasses(
                AFTER_TRANSITION_US + 400_000,
                List.of(read, requestClass("refund", Access.WRITE, Idempotency.IDEMPOTENT), post));
        registry.replaceClasses(AFTER_TRANSITION_US + 800_000, List.of(read, post));

        assertThat(idempotency(write(AFTER_TRANSITION_US + IN_TRANSITION_US, "refund")))
                .isEqualTo(Idempotency.NON_IDEMPOTENT);
        assertThat(idempotency(write(2 * AFTER_TRANSITION_US, "refund"))).isEqualTo(Idempotency.IDEMPOTENT);
        assertThat(write(2 * AFTER_TRANSITION_US + 800_000, "refund")).isEqualTo(RequestClassRegistry.NO_CLASS);
    }

    /** Guards against the looser rules of a class that was dropped and added back under the same name. */
    @Test
    void keepsTheStricterClassThatWasDroppedAndAddedBack() {
        registry.replaceClasses(0, List.of(read));
        registry.replaceClasses(100_000, List.of(read, requestClass("post", Access.WRITE, Idempotency.IDEMPOTENT)));

        assertThat(idempotency(keyedWrite(IN_TRANSITION_US, "post"))).isEqualTo(Idempotency.KEYED);
        assertThat(idempotency(keyedWrite(AFTER_TRANSITION_US, "post"))).isEqualTo(Idempotency.IDEMPOTENT);
    }

    /** Guards against the rules of a later class for a request that waited behind others of its connection. */
    @Test
    void choosesTheClassByTheArrivalOfTheRequest() {
        registry.replaceClasses(0, List.of(read, requestClass("post", Access.WRITE, Idempotency.NON_IDEMPOTENT)));
        registry.replaceClasses(
                AFTER_TRANSITION_US, List.of(read, requestClass("post", Access.WRITE, Idempotency.IDEMPOTENT)));
        registry.replaceClasses(2 * AFTER_TRANSITION_US, List.of(read));

        assertThat(idempotency(write(1, "post"))).isEqualTo(Idempotency.NON_IDEMPOTENT);
        assertThat(idempotency(write(2 * AFTER_TRANSITION_US, "post"))).isEqualTo(Idempotency.IDEMPOTENT);
    }

    private Idempotency idempotency(int number) {
        return registry.all().get(number).idempotency();
    }

    @Test
    void givesReturningClassesTheirFormerNumber() {
        for (int i = 0; i < 100; i++) {
            Idempotency idempotency = i % 2 == 0 ? Idempotency.NON_IDEMPOTENT : Idempotency.IDEMPOTENT;
            registry.replaceClasses(i, List.of(requestClass("read", Access.ANY, idempotency), post));
        }
        assertThat(registry.all()).hasSize(3);
        assertThat(read(99 + AFTER_TRANSITION_US, "read")).isZero();
    }
}
