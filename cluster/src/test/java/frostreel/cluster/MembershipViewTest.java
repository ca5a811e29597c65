package frostreel.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order of members in a view, and the difference between two views. */
class MembershipViewTest {
    private static final Peer FIRST = new Peer("a", 1);
    private static final Peer SECOND = new Peer("b", 1);
    private static final Peer SECOND_RESTARTED = new Peer("b", 2);
    private static final MembershipView PREVIOUS = new MembershipView(1, List.of(SECOND, FIRST), false);

    @Test
    void sortsItsMembers() {
        assertThat(PREVIOUS.members()).containsExactly(FIRST, SECOND);
    }

    @Test
    void derivesMembersThatJoinedAndLeftFromTwoViews() {
        MembershipView next = new MembershipView(2, List.of(FIRST, SECOND_RESTARTED), false);

        assertThat(next.joined(PREVIOUS)).containsExactly(SECOND_RESTARTED);
        assertThat(next.left(PREVIOUS)).containsExactly(SECOND);
        assertThat(PREVIOUS.joined(MembershipView.NONE)).containsExactly(FIRST, SECOND);
    }
}
