package frostreel.lab.virtual;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.simulator.WireAdapter;
import frostreel.wire.MalformedMessageException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Equal events lead to the same actions as at commit 223cd4e, whose code gave the digests in
 * {@code decisions.digests}: on the simulator's wire, in virtual time, and with a zone lost and returned.
 * Refactoring keeps all digests. A change that is meant to decide otherwise replaces them by those that a run of
 * this test with {@code -Dfrostreel.digests=FILE} appends to that file.
 */
class EqualDecisionsTest {
    private static final long SECOND_US = 1_000_000;
    private static final int SEEDS_OF_A_SITE = 2;
    private static final int RANDOM_DEPLOYMENTS = 20;
    private static final int GROUPS = 3;
    private static final int MEMBERS = 3;
    private static final long WIRE_DURATION_US = 6 * SECOND_US;
    private static final double WIRE_REQUESTS_PER_SECOND = 300;
    private static final Map<String, String> EXPECTED = expected();

    private static Map<String, String> expected() {
        try (InputStream in = EqualDecisionsTest.class.getResourceAsStream("/decisions.digests")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .map(line -> line.split(": ", 2))
                    .collect(Collectors.toMap(parts -> parts[0], parts -> parts[1]));
        } catch (IOException e) {
            throw new IllegalStateException("the digests cannot be read", e);
        }
    }

    /** Each known site with a few seeds; and {@code random}, whose settings are drawn from the seed, too. */
    private static Stream<String> deployments() {
        Stream<String> sites = Stream.of("billing-kamloops", "bsas-main", "clinic-halls", "parcels-short")
                .flatMap(site -> IntStream.rangeClosed(1, SEEDS_OF_A_SITE).mapToObj(seed -> site + " " + seed));
        Stream<String> random = IntStream.rangeClosed(1, RANDOM_DEPLOYMENTS).mapToObj(seed -> "random " + seed);
        return Stream.concat(sites, random);
    }

    private static long seed(String deployment) {
        return Long.parseLong(deployment.substring(deployment.indexOf(' ') + 1));
    }

    private static JSONObject settings(String deployment) throws IOException {
        String site = deployment.substring(0, deployment.indexOf(' '));
        return site.equals("random")
                ? new RandomDeployment(seed(deployment)).settings()
                : KnownSitesTest.settings(site);
    }

    private static void assertUnchanged(String run, String digest) throws IOException {
        String file = System.getProperty("frostreel.digests");
        if (file != null) {
            Files.writeString(
                    Path.of(file), run + ": " + digest + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        }
        assertThat(digest).as(run).isEqualTo(EXPECTED.get(run));
    }

    @ParameterizedTest
    @MethodSource("deployments")
    void adapterRepliesAreUnchangedByteForByte(String deployment) throws IOException {
        WireEventGenerator generator = new WireEventGenerator(
                settings(deployment), GROUPS, MEMBERS, WIRE_REQUESTS_PER_SECOND, WIRE_DURATION_US, seed(deployment));
        int exitCode =
                WireAdapter.run(generator, new PrintStream(generator.replies(), true), new PrintStream(System.err));
        assertThat(exitCode).isZero();
        byte[] digest = ActionDigest.sha256().digest(generator.allReplies());
        assertUnchanged("wire " + deployment, ActionDigest.line(digest, generator.actions()));
    }

    @ParameterizedTest
    @MethodSource("deployments")
    void fleetActionsAreUnchanged(String deployment) throws IOException, MalformedMessageException {
        RandomScenario scenario = new RandomDeployment(seed(deployment)).scenario(settings(deployment));
        ActionDigest digest = new ActionDigest();
        scenario.play(digest.recording(Policy.plain()));
        assertUnchanged("fleet " + deployment, digest.toString());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void zoneFailoverActionsAreUnchanged(long seed) throws IOException {
        SimulationPlan plan = new SimulationPlan(seed, 3, 2, 4, 2, 0.5, SECOND_US, 14 * SECOND_US, true);
        ActionDigest digest = new ActionDigest();
        Simulation simulation = new Simulation(plan, digest.recording(Policy.tiers(plan, 0.3, 1)));
        simulation.at(4 * SECOND_US, () -> simulation.loseZone(1));
        simulation.at(7 * SECOND_US, () -> simulation.returnZone(1));
        simulation.at(9 * SECOND_US, () -> simulation.cut(0, 2, true));
        simulation.at(11 * SECOND_US, () -> simulation.cut(0, 2, false));
        simulation.run();
        assertUnchanged("zones " + seed, digest.toString());
    }

    @Test
    void everyDigestBelongsToARun() {
        int played = 2 * (int) deployments().count() + 3;
        assertThat(EXPECTED).hasSize(played);
        assertThat(List.of("PassOn", "OverloadReply", "Surrender", "StopAttempt", "HealthCheck", "StreamChanges"))
                .allSatisfy(action -> assertThat(EXPECTED.values()).anyMatch(line -> line.contains(action)));
    }
}
