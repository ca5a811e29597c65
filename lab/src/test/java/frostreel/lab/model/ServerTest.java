package frostreel.lab.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The simulated server: queue, cores, log, warm-up, overload and loss. */
class ServerTest {
    private static final long START_US = 1_000_000_000;
    private final VirtualTime scheduler = new VirtualTime(START_US);
    private final Server server = new Server(scheduler, ServerParameters.USUAL, "s", 0, 0, 2, 1);
    /** Each request that has ended, with its outcome and time since the start in microseconds. */
    private final List<String> ended = new ArrayList<>();

    private Job job(String name, double workUs, boolean write, long requiredPositionUs) {
        return new Job(
                workUs,
                write,
                requiredPositionUs,
                (outcome, role, positionUs, utilization) ->
                        ended.add(name + " " + outcome + " " + (scheduler.now() - START_US)));
    }

    private Job send(String name, double workUs) {
        Job job = job(name, workUs, false, 0);
        server.arrive(job);
        return job;
    }

    @Test
    void runsOneRequestPerCoreAndRejectsThoseBeyondTheQueue() {
        for (int i = 0; i < 2 + ServerParameters.USUAL.queue() + 1; i++) {
            send("j" + i, 1000);
        }
        assertThat(ended).containsExactly("j66 REJECTED 0");
        scheduler.runUntil(START_US + 2000);
        assertThat(ended.subList(1, 5)).containsExactly("j0 OK 1000", "j1 OK 1000", "j2 OK 2000", "j3 OK 2000");
    }

    @Test
    void cancelledRequestFreesItsCoreAndIsNotAnswered() {
        Job first = send("a", 10_000);
        send("b", 10_000);
        Job waiting = send("c", 10_000);
        send("d", 1000);
        server.cancel(waiting);
        server.cancel(first);
        scheduler.runUntil(START_US + 20_000);
        assertThat(ended).containsExactly("d OK 1000", "b OK 10000");
    }

    @Test
    void replicaRejectsWritesAndReadsBeyondItsPosition() {
        server.arrive(job("w", 1000, true, 0));
        server.arrive(job("r", 1000, false, scheduler.now()));
        server.replayRate(0.5);
        scheduler.runUntil(START_US + 1_000_000);
        server.arrive(job("behind", 1000, false, START_US + 600_000));
        server.arrive(job("near", 1000, false, START_US + 400_000));
        assertThat(ended)
                .containsExactly(
                        "w WRONG_ROLE_OR_STALE 0", "r WRONG_ROLE_OR_STALE 0", "behind WRONG_ROLE_OR_STALE 1000000");
        server.connectToLog(false);
        long disconnectedAtUs = server.appliedUs();
        scheduler.runUntil(START_US + 2_000_000);
        assertThat(server.appliedUs()).isEqualTo(disconnectedAtUs);
        server.promote(true);
        assertThat(server.appliedUs()).isEqualTo(scheduler.now());
    }

    @Test
    void newPrimaryReportsTheEndOfItsLogAndLaterCommitsAreLost() {
        ServerParameters usual = ServerParameters.USUAL;
        ServerParameters asynchronous = new ServerParameters(
                usual.coldFrom(),
                usual.warmAfterUs(),
                usual.fallMultiple(),
                usual.fallUs(),
                usual.logDelayUs(),
                usual.replayRate(),
                usual.queue(),
                usual.informedShare(),
                usual.slackUs(),
                usual.cancels(),
                false);
        Cluster cluster = new Cluster(scheduler, new SplittableRandom(1), asynchronous, 1, 2, 1, 2, server -> {});
        Server old = cluster.all().stream().filter(Server::primary).findFirst().orElseThrow();
        Server next = cluster.all().stream()
                .filter(server -> server != old)
                .findFirst()
                .orElseThrow();
        next.replayRate(0);
        long appliedUs = next.appliedUs();
        old.arrive(job("w", 1000, true, 0));
        scheduler.runUntil(START_US + 2_000);
        cluster.vanish(old);
        scheduler.runUntil(START_US + 7_000_000);
        assertThat(next.primary()).isTrue();
        assertThat(next.reportedPositionUs()).isEqualTo(appliedUs);
        assertThat(cluster.isLost(0, START_US + 1_000)).isTrue();
        cluster.start(old);
        assertThat(old.primary()).isFalse();
        next.arrive(job("w2", 1000, true, 0));
        scheduler.runUntil(START_US + 20_000_000);
        assertThat(next.reportedPositionUs()).isEqualTo(scheduler.now());
        assertThat(old.reportedPositionUs())
                .as("it follows the new primary")
                .isEqualTo(scheduler.now() - asynchronous.logDelayUs());
        assertThat(cluster.lostCommits()).isEqualTo(1);
    }

    @Test
    void coldServerIsSlowAndCrashesForGoodWhenOverloaded() {
        server.crash();
        server.start();
        assertThat(server.capacity()).isEqualTo(2 * ServerParameters.USUAL.coldFrom());
        send("slow", 22_000);
        scheduler.runUntil(START_US + 100_000);
        assertThat(ended).containsExactly("slow OK 100000");
        double limitUs = ServerParameters.USUAL.fallMultiple() * server.capacity() * ServerParameters.USUAL.fallUs();
        send("large", limitUs - 23_000);
        assertThat(server.overloaded()).isFalse();
        assertThat(server.largestMultiple()).isBetween(2.9, 3.0);
        send("small", 2000);
        assertThat(server.overloaded()).isTrue();
        assertThat(ended).contains("small RESET 100000", "large RESET 100000");
        server.start();
        assertThat(server.up()).isFalse();
    }

    @Test
    void vanishedServerSendsNoAnswers() {
        send("a", 1000);
        server.vanish();
        send("b", 1000);
        scheduler.runUntil(START_US + 10_000);
        assertThat(ended).isEmpty();
        server.start();
        scheduler.runUntil(START_US + 16_000_000);
        assertThat(server.capacity()).isEqualTo(2);
    }
}
