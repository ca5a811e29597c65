package frostreel;

import static frostreel.Stage.host;
import static frostreel.Stage.rows;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;

/** A group of a primary and a replica, on a stage of its own for each story. */
/* A read from a socket hears no interrupt, so the test must not run on the thread that waits for it. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
abstract class Story {
    Stage stage;
    Stage.Peer primary;
    Stage.Peer replica;

    @BeforeEach void raise() throws Exception {
        stage = new Stage();
        primary = stage.server(rows("from-primary", "primary"));
        replica = stage.server(rows("from-replica", "replica"));
    }

    @AfterEach void strike() throws Exception {
        stage.strike();
    }

    void start() throws Exception {
        stage.start(host("a", primary, "primary", "Ready"), host("b", replica, "replica", "Ready"));
    }

    static String value(List<String> answer) {
        assertThat(answer).as("%s", answer).extracting(m -> m.charAt(0)).containsExactly('T', 'D', 'C');
        return answer.get(1).substring(7);
    }
}
