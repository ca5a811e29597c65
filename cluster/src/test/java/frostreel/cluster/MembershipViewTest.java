package frostreel.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class MembershipViewTest {
    @Test
    void membersThatJoinedAndLeftFollowFromTwoViews() {
        Peer first = new Peer("a", 1);
        Peer second = new Peer("b", 1);
        Peer restarted = new Peer("b", 2);
        MembershipView before = new MembershipView(1, List.of(second, first), false);
        MembershipView after = new MembershipView(2, List.of(first, restarted), false);

        assertThat(before.members()).containsExactly(first, second);
        assertThat(after.joined(before)).containsExactly(restarted);
        assertThat(after.left(before)).containsExactly(second);
        assertThat(before.joined(MembershipView.NONE)).containsExactly(first, second);
    }
}
