package frostreel.operation;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Router;
import frostreel.routing.Router.State;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which members are published for endpoint lists and operator commands. */
class MaintenanceOverlayTest {
    private static final CommandTarget SERVER_A = CommandTarget.server("a");
    private static final CommandTarget SERVER_B = CommandTarget.server("b");

    private static final int MORE_THAN_MAX_DEPARTED = 300;

    private final OperatorCommands commands = new OperatorCommands();
    private final MaintenanceOverlay overlay = new MaintenanceOverlay(commands);

    private static Router.Member member(String id, State state, long startedUs) {
        return new Router.Member(id, 0, 0, 1, false, state, 1, startedUs);
    }

    private Router.Member effectiveMember(String serverId) {
        return overlay.effectiveMember(serverId).orElseThrow();
    }

    @Test
    void suspendedServerDrainsWhateverIsListedUntilRestored() {
        overlay.applyComplete(List.of(member("a", State.UP, 0), member("b", State.UP, 0)));
        commands.issue(100, SERVER_A);
        assertThat(effectiveMember("a").state()).isEqualTo(State.DRAINING);

        assertThat(overlay.applyChanges(List.of(member("a", State.UP, 0))))
                .extracting(Router.Member::state)
                .containsExactly(State.DRAINING);
        assertThat(overlay.applyComplete(List.of(member("a", State.UP, 0), member("b", State.UP, 0))))
                .extracting(Router.Member::state)
                .containsExactly(State.DRAINING, State.UP);
        overlay.applyChanges(List.of(member("a", State.GONE, 0)));
        assertThat(overlay.applyChanges(List.of(member("a", State.UP, 150))))
                .extracting(Router.Member::state)
                .containsExactly(State.DRAINING);

        commands.revoke(200, SERVER_A);
        assertThat(effectiveMember("a").state()).isEqualTo(State.UP);
    }

    @Test
    void restoringCountsAsStartUntilDiscoveryReportsOne() {
        overlay.applyComplete(List.of(member("a", State.UP, 5)));
        commands.issue(100, SERVER_A);
        commands.revoke(200, SERVER_A);
        assertThat(effectiveMember("a").startedUs()).isEqualTo(200);
        assertThat(overlay.applyChanges(List.of(member("a", State.UP, 5))))
                .extracting(Router.Member::startedUs)
                .containsExactly(200L);
        assertThat(overlay.applyChanges(List.of(member("a", State.UP, 150))))
                .extracting(Router.Member::startedUs)
                .containsExactly(150L);
    }

    @Test
    void restoringWithoutSuspensionChangesNothing() {
        overlay.applyComplete(List.of(member("a", State.UP, 0)));

        assertThat(commands.revoke(50, SERVER_A)).isFalse();

        assertThat(effectiveMember("a").startedUs()).isZero();
    }

    @Test
    void restoringOnceUndoesTwoSuspensions() {
        overlay.applyComplete(List.of(member("a", State.UP, 0)));
        commands.issue(100, SERVER_A);
        assertThat(commands.issue(110, SERVER_A)).isFalse();

        commands.revoke(200, SERVER_A);

        assertThat(effectiveMember("a").state()).isEqualTo(State.UP);
        assertThat(overlay.outOfServiceIds()).isEmpty();
    }

    @Test
    void restoredServerHasTheStateThatDiscoveryListedLast() {
        overlay.applyComplete(List.of(member("a", State.UP, 0), member("b", State.UP, 0)));
        commands.issue(100, SERVER_A);
        commands.issue(100, SERVER_B);
        overlay.applyChanges(List.of(member("a", State.DRAINING, 0)));
        overlay.applyComplete(List.of(member("a", State.DRAINING, 0)));

        commands.revoke(200, SERVER_A);
        commands.revoke(200, SERVER_B);

        assertThat(effectiveMember("a").state()).isEqualTo(State.DRAINING);
        assertThat(effectiveMember("b").state()).isEqualTo(State.GONE);
    }

    @Test
    void forgetsTheOldestDepartedServers() {
        assertThat(overlay.isKnown("a")).isFalse();
        overlay.applyComplete(List.of(member("a", State.UP, 0)));
        overlay.applyComplete(List.of());
        assertThat(overlay.isKnown("a")).as("a departed server may return").isTrue();

        for (int i = 0; i < MORE_THAN_MAX_DEPARTED; i++) {
            overlay.applyChanges(List.of(member("x" + i, State.GONE, 0)));
        }

        assertThat(overlay.isKnown("a")).isFalse();
    }

    @Test
    void keepsCommandsOnUnknownTargetsWithoutEffect() {
        CommandTarget unknown = new CommandTarget("zone a");
        overlay.applyComplete(List.of(member("a", State.UP, 0)));
        commands.merge(unknown, CommandState.issued(5));
        commands.merge(CommandTarget.CLIENTS, CommandState.issued(5));
        assertThat(overlay.outOfServiceIds()).isEmpty();
        assertThat(effectiveMember("a").state()).isEqualTo(State.UP);
        assertThat(commands.all()).containsKey(unknown);
    }
}
