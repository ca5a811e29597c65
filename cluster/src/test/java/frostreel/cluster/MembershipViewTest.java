package frostreel.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class MembershipViewTest {
    @Test
    void membersThatJoinedAndLeftFollowFromTwoViews() {
        Peer a = new Peer("a", 1);
        Peer b = new Peer("b", 1);
        Peer restarted = new Peer("b", 2);
        MembershipView before = new MembershipView(1, List.of(b, a), false);
        MembershipView after = new MembershipView(2, List.of(a, restarted), false);

        assertThat(before.members()).containsExactly(a, b);
        assertThat(after.joined(before)).containsExactly(restarted);
        assertThat(after.left(before)).containsExactly(b);
        assertThat(before.joined(MembershipView.NONE)).containsExactly(a, b);
    }
}
