package frostreel.operation;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Router;
import frostreel.routing.Router.State;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class MaintenanceOverlayTest {
    private final OperatorCommands orders = new OperatorCommands();
    private final MaintenanceOverlay out = new MaintenanceOverlay(orders);

    private static Router.Member member(String id, State state, long startedUs) {
        return new Router.Member(id, 0, 0, 1, false, state, 1, startedUs);
    }

    @Test
    void aServerTakenOutDrainsWhateverDiscoverySaysUntilTheCallBack() {
        out.told(true, List.of(member("a", State.UP, 0), member("b", State.UP, 0)));
        orders.give(100, MaintenanceOverlay.thing("a"), true);
        assertThat(out.shown("a").state()).isEqualTo(State.DRAINING);
        assertThat(out.told(false, List.of(member("a", State.UP, 0))))
                .extracting(Router.Member::state)
                .containsExactly(State.DRAINING);
        assertThat(out.told(true, List.of(member("a", State.UP, 0), member("b", State.UP, 0))))
                .extracting(Router.Member::state)
                .containsExactly(State.DRAINING, State.UP);
        out.told(false, List.of(member("a", State.GONE, 0)));
        assertThat(out.told(false, List.of(member("a", State.UP, 150))))
                .extracting(Router.Member::state)
                .containsExactly(State.DRAINING);
        orders.give(200, MaintenanceOverlay.thing("a"), false);
        assertThat(out.shown("a").state()).isEqualTo(State.UP);
    }

    @Test
    void theCallBackCountsAsAStartUntilDiscoveryTellsOfOneSinceItWasTakenOut() {
        out.told(true, List.of(member("a", State.UP, 5)));
        orders.give(100, MaintenanceOverlay.thing("a"), true);
        orders.give(200, MaintenanceOverlay.thing("a"), false);
        assertThat(out.shown("a").startedUs()).isEqualTo(200);
        assertThat(out.told(false, List.of(member("a", State.UP, 5))))
                .extracting(Router.Member::startedUs)
                .containsExactly(200L);
        assertThat(out.told(false, List.of(member("a", State.UP, 150))))
                .extracting(Router.Member::startedUs)
                .containsExactly(150L);
    }

    @Test
    void oneCallBackIsEnoughForTwoCallsOutAndOneWithoutIsNoFault() {
        out.told(true, List.of(member("a", State.UP, 0)));
        assertThat(orders.give(50, MaintenanceOverlay.thing("a"), false)).isFalse();
        assertThat(out.shown("a").startedUs()).isZero();
        orders.give(100, MaintenanceOverlay.thing("a"), true);
        assertThat(orders.give(110, MaintenanceOverlay.thing("a"), true)).isFalse();
        orders.give(200, MaintenanceOverlay.thing("a"), false);
        assertThat(out.shown("a").state()).isEqualTo(State.UP);
        assertThat(out.out()).isEmpty();
    }

    @Test
    void aServerBroughtBackIsAsDiscoveryLastHadIt() {
        out.told(true, List.of(member("a", State.UP, 0), member("b", State.UP, 0)));
        orders.give(100, MaintenanceOverlay.thing("a"), true);
        orders.give(100, MaintenanceOverlay.thing("b"), true);
        out.told(false, List.of(member("a", State.DRAINING, 0)));
        out.told(true, List.of(member("a", State.DRAINING, 0)));
        orders.give(200, MaintenanceOverlay.thing("a"), false);
        orders.give(200, MaintenanceOverlay.thing("b"), false);
        assertThat(out.shown("a").state()).isEqualTo(State.DRAINING);
        assertThat(out.shown("b").state()).isEqualTo(State.GONE);
    }

    @Test
    void idsThatNobodyHasAreNotKnownAndThoseGoneAreForgottenInTheEnd() {
        assertThat(out.knows("a")).isFalse();
        out.told(true, List.of(member("a", State.UP, 0)));
        out.told(true, List.of());
        assertThat(out.knows("a")).as("it may come back").isTrue();
        for (int i = 0; i < 300; i++) {
            out.told(false, List.of(member("x" + i, State.GONE, 0)));
        }
        assertThat(out.knows("a")).isFalse();
    }

    @Test
    void ordersTakenOverInAnySequenceEndInTheSame() {
        Random random = new Random(7);
        for (int round = 0; round < 2000; round++) {
            record Told(String thing, OperatorCommands.Command order) {}
            List<Told> all = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                long at = random.nextInt(4);
                all.add(new Told("s" + random.nextInt(2), new OperatorCommands.Command(random.nextBoolean(), at, at)));
            }
            OperatorCommands one = new OperatorCommands();
            all.forEach(t -> one.take(t.thing(), t.order()));
            Collections.shuffle(all, random);
            OperatorCommands other = new OperatorCommands();
            all.forEach(t -> other.take(t.thing(), t.order()));
            assertThat(other.all()).isEqualTo(one.all());
        }
    }
}
