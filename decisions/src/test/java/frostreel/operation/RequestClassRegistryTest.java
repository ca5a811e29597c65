package frostreel.operation;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Router.Access;
import frostreel.routing.Router.DeduplicationScope;
import frostreel.routing.Router.Idempotency;
import frostreel.routing.Router.RequestClass;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestClassRegistryTest {
    private static final long SOON = RequestClassRegistry.CHANGE_US - 1;
    private static final long LATER = RequestClassRegistry.CHANGE_US;

    private static RequestClass kind(String name, Access access, Idempotency repeat) {
        return new RequestClass(name, access, repeat, DeduplicationScope.GROUP, 3_000_000, 0, 100_000, 400_000, 1, 0);
    }

    private final RequestClass read = kind("read", Access.ANY, Idempotency.IDEMPOTENT);
    private final RequestClass post = kind("post", Access.WRITE, Idempotency.KEYED);
    private final RequestClassRegistry table = new RequestClassRegistry(List.of(read, post));

    @Test
    void aClassAddedIsServedAtOnceAndOneDroppedForAWhile() {
        table.change(0, List.of(post, kind("new", Access.WRITE, Idempotency.NON_IDEMPOTENT)));
        assertThat(table.number(0, "new", true, false)).isEqualTo(2);
        assertThat(table.number(0, "post", true, true))
                .as("unchanged, it keeps its number")
                .isEqualTo(1);
        assertThat(table.number(SOON, "read", false, false)).isZero();
        assertThat(table.number(LATER, "read", false, false)).isNull();
        assertThat(table.all()).hasSize(3);
    }

    @Test
    void ofTwoClassesOfOneNameTheStricterHoldsUntilClientsSpeakByTheNew() {
        table.change(0, List.of(read, kind("post", Access.WRITE, Idempotency.IDEMPOTENT)));
        assertThat(table.number(SOON, "post", true, true))
                .as("keyed is stricter")
                .isEqualTo(1);
        assertThat(table.number(SOON, "post", true, false))
                .as("only the new fits")
                .isEqualTo(2);
        assertThat(table.number(LATER, "post", true, true)).isEqualTo(2);
        table.change(LATER, List.of(read, kind("post", Access.WRITE, Idempotency.NON_IDEMPOTENT)));
        assertThat(table.number(LATER, "post", true, false)).isEqualTo(3);
    }

    @Test
    void aReadThatBecomesAWriteIsEitherByItsStatement() {
        table.change(0, List.of(kind("read", Access.WRITE, Idempotency.NON_IDEMPOTENT), post));
        assertThat(table.number(SOON, "read", false, false)).isZero();
        assertThat(table.number(SOON, "read", true, false)).isEqualTo(2);
        assertThat(table.number(LATER, "read", false, false)).isNull();
    }

    @Test
    void whatComesBackAsItWasHasItsOldNumberSoThatTheTableDoesNotGrow() {
        for (int i = 0; i < 100; i++) {
            Idempotency repeat = i % 2 == 0 ? Idempotency.NON_IDEMPOTENT : Idempotency.IDEMPOTENT;
            table.change(i, List.of(kind("read", Access.ANY, repeat), post));
        }
        assertThat(table.all()).hasSize(3);
        assertThat(table.number(99 + LATER, "read", false, false)).isZero();
    }
}
