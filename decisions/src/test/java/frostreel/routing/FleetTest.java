package frostreel.routing;

import static frostreel.routing.Recorder.ANY;
import static frostreel.routing.Recorder.SAFE_READ;
import static frostreel.routing.Recorder.UNSAFE;
import static frostreel.routing.Recorder.up;
import static frostreel.routing.Recorder.with;
import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Recorder.Setup;
import frostreel.routing.Router.Member;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Report;
import frostreel.routing.Router.Role;
import frostreel.routing.Router.State;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What many routers do to the same members, each knowing only what it saw itself. */
class FleetTest {
    private static final int INSTANCES = 14;
    /** What a router that has seen no answer expects: a fifth of the aim. */
    private static final long USUAL_US = 120_000;

    private static List<Recorder> fleet(Member... members) {
        List<Recorder> all = new ArrayList<>();
        for (int seed = 0; seed < INSTANCES; seed++) {
            Setup s = new Setup();
            s.seed = seed;
            s.instances = INSTANCES;
            all.add(s.start(members));
        }
        return all;
    }

    private static long sentTo(List<Recorder> all, String member) {
        return all.stream().mapToLong(r -> r.countTo(member)).sum();
    }

    /** Each had served nothing, took its share to be nothing, and a replaced group stood idle till warm. */
    @Test
    void routersThatHaveServedNothingGiveAColdGroupAFirstDoseTogether() {
        Member a = with(up("a", 0, true), State.UP, 99_900_000);
        List<Recorder> all = fleet(a, with(up("b", 0, false), State.UP, 99_900_000));
        for (Recorder r : all) {
            for (int i = 0; i < 4; i++) {
                r.ask("w" + i, UNSAFE);
                r.pass(500_000);
            }
        }
        // A core of half the speed and a fifth of that, as a cold one has at the least, does three requests
        // of 60 ms in two seconds; sent three times as many it falls.
        assertThat(sentTo(all, "a")).isBetween(1L, 8L);
    }

    /** Of the load that warm ones happened to have, a cold one got a fifth, however much room it had. */
    @Test
    void aColdMemberIsGivenWhatItCanDoAndNotAPartOfWhatOthersAreAsked() {
        Recorder busy = served(1);
        Recorder calm = served(0.1);
        assertThat(busy.countTo("c")).isPositive().isLessThan(busy.countTo("b") / 2);
        assertThat(calm.countTo("c")).isGreaterThan(2 * busy.countTo("c"));
    }

    private static Recorder served(double util) {
        Setup s = new Setup();
        s.instances = INSTANCES;
        Recorder r = s.start(up("a", 0, true), up("b", 0, false), with(up("c", 0, false), State.UP, 99_900_000));
        for (int i = 0; i < 400; i++) {
            String id = "q" + i;
            r.ask(id, ANY);
            r.pass(10_000);
            Recorder.Sent sent = r.last(id);
            if (sent != null) {
                r.router.onOutcome(
                        r.now,
                        id,
                        sent.attempt(),
                        sent.member(),
                        Outcome.OK,
                        true,
                        USUAL_US,
                        Role.REPLICA,
                        r.now,
                        new Report(r.now, Role.REPLICA, util, Double.NaN, Double.NaN));
            }
        }
        return r;
    }

    private static long probes(List<Recorder> all) {
        return all.stream().mapToLong(r -> r.probed.size()).sum();
    }

    /** Answers what was probed since, each as a replica that stands so far behind. */
    private static void answerProbes(Recorder r, int since, long lagUs) {
        for (int i = since; i < r.probed.size(); i++) {
            r.probeOk(r.probed.get(i), Role.REPLICA, r.now - lagUs);
        }
    }

    /** Each read that waited had each replica probed four times a second, by each of fourteen. */
    @Test
    void aReplicaFarBehindIsAskedAgainNoSoonerThanItCanHaveCaughtUp() {
        List<Recorder> all = fleet(up("a", 0, true), up("b", 0, false));
        for (Recorder r : all) {
            for (int i = 0; i < 30; i++) {
                int before = r.probed.size();
                r.ask("q" + i, SAFE_READ);
                r.pass(100_000);
                r.end("q" + i, Outcome.OK, Role.PRIMARY, r.now); // No replica could: the head has it.
                answerProbes(r, before, 5_000_000);
            }
        }
        // 4.2 s over its bound, it needs 2.9 s at the least: once at first, and once in three seconds.
        assertThat(probes(all)).isBetween((long) INSTANCES, 2L * INSTANCES);
    }

    @Test
    void aMissThatTellsThePositionNeedsNoProbeToTellItAgain() {
        Setup s = new Setup();
        s.stalenessCheck = Router.StalenessCheck.WAIT;
        Recorder r = s.start(up("a", 0, true), up("b", 0, false));
        r.ask("q", SAFE_READ);
        assertThat(r.last("q").member()).isEqualTo("b");
        r.end("q", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, r.now - 3_000_000);
        assertThat(r.probed).isEmpty();
    }

    /** A full round each half second for one write that waits, at each of fourteen, cost more than it won. */
    @Test
    void theWalkGoesAsFastAsThereAreWritesThatWait() {
        assertThat(walked(1)).isBetween(3L * INSTANCES, 5L * INSTANCES);
        assertThat(walked(6)).isBetween(10L * INSTANCES, 13L * INSTANCES);
    }

    /** Probes of all in two seconds without a primary, of three members, with so many writes each. */
    private static long walked(int writes) {
        List<Recorder> all = fleet(up("a", 0, true), up("b", 0, false), up("c", 0, false));
        for (Recorder r : all) {
            for (int i = 0; i < writes; i++) {
                r.ask("w" + i, UNSAFE);
            }
            for (int i = 0; i < r.sent.size(); i++) { // Each miss sends it on, until the round is full.
                Recorder.Sent s = r.sent.get(i);
                r.router.onOutcome(
                        r.now,
                        s.request(),
                        s.attempt(),
                        s.member(),
                        Outcome.WRONG_ROLE_OR_STALE,
                        false,
                        1_000,
                        Role.REPLICA,
                        0,
                        null);
            }
            for (int i = 0; i < 20; i++) {
                int before = r.probed.size();
                r.pass(100_000);
                answerProbes(r, before, 10_000);
            }
        }
        return probes(all);
    }
}
