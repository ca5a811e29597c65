package frostreel;

import static frostreel.PoolerHarness.errors;
import static frostreel.PoolerHarness.host;
import static frostreel.PoolerHarness.list;
import static frostreel.PoolerHarness.look;
import static frostreel.PoolerHarness.post;
import static frostreel.PoolerHarness.query;
import static frostreel.PoolerHarness.row;
import static frostreel.PoolerHarness.rows;
import static org.assertj.core.api.Assertions.assertThat;

import frostreel.log.Logging;
import frostreel.settings.OperatorSettings;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;
import org.junit.jupiter.api.Test;

/** One story for each failure that the pooler met, or must stand. */
class ServingTest extends ClientScript {
    @Test
    void startupAndQueriesMayComeTogetherOneByteAtATime() throws Exception {
        start();
        try (PoolerHarness.Link c = new PoolerHarness.Link(stage.connect())) {
            for (byte[] part : List.of(PoolerHarness.startup(), query(look("1", 9000)), query(post("2", 9000)))) {
                for (byte b : part) {
                    c.out.write(b);
                }
            }
            c.takeAnswer();
            assertThat(value(c.takeAnswer())).isEqualTo("from-replica");
            assertThat(value(c.takeAnswer())).isEqualTo("from-primary");
        }
    }

    @Test
    void aStatementGoesOnUnchangedButForTheTimeToWait() throws Exception {
        start();
        try (PoolerHarness.Link c = stage.client()) {
            c.ask(post("7", 8000));
            String sent = primary.next();
            int d = Integer.parseInt(sent.replaceAll(".*,d=(\\d+),.*", "$1").replace("|", ""));
            assertThat(d).isBetween(1, 8000);
            assertThat(sent).isEqualTo("Q" + post("7", d) + "|");
        }
    }

    @Test
    void aWriteMovesOnAfterAMissAndIsNeverAtTwoServers() throws Exception {
        primary.script = errors("25006", "replica");
        replica.script = rows("from-new-primary", "primary");
        start();
        try (PoolerHarness.Link c = stage.client()) {
            assertThat(value(c.ask(post("1", 9000)))).isEqualTo("from-new-primary");
            assertThat(primary.heard).hasSize(1);
            assertThat(value(c.ask(post("2", 9000)))).isEqualTo("from-new-primary");
            assertThat(primary.heard).hasSize(1);
        }
    }

    @Test
    void aReadMovesOnWhenItsConnectionBreaksInTheMiddleOfTheRow() throws Exception {
        replica.script = (text, link) -> {
            link.send(java.util.Arrays.copyOf(row("half", "replica"), 30));
            link.close();
        };
        start();
        try (PoolerHarness.Link c = stage.client()) {
            assertThat(value(c.ask(look("1", 9000)))).isEqualTo("from-primary");
        }
    }

    @Test
    void aServerThatRefusesConnectionsIsPassedOver() throws Exception {
        start();
        replica.close();
        try (PoolerHarness.Link c = stage.client()) {
            assertThat(value(c.ask(look("1", 9000)))).isEqualTo("from-primary");
        }
    }

    @Test
    void anErrorOnARepeatableReadIsTriedElsewhereAndTheConnectionStaysClean() throws Exception {
        replica.script = errors("XX000", "replica");
        start();
        try (PoolerHarness.Link c = stage.client()) {
            assertThat(value(c.ask(look("1", 9000)))).isEqualTo("from-primary");
            replica.script = rows("later", "replica");
            c.ask(look("2", 9000));
            assertThat(replica.links.get() + primary.links.get()).isLessThanOrEqualTo(2);
        }
    }

    @Test
    void aRequestGivenUpOnIsRefusedWithTheTimeToComeBack() throws Exception {
        replica.script = errors("53300", "replica");
        primary.script = errors("53300", "primary");
        start();
        try (PoolerHarness.Link c = stage.client()) {
            List<String> answer = c.ask(look("1", 300));
            assertThat(answer).singleElement().asString().contains("|C53300|").containsPattern("\\|D\\d+\\|");
        }
    }

    @Test
    void aTimeOutEndsTheServersConnectionAndTheClientGetsOneAnswer() throws Exception {
        PoolerHarness.Script silence = (text, link) -> {};
        replica.script = silence;
        primary.script = silence;
        start();
        try (PoolerHarness.Link c = stage.client()) {
            assertThat(c.ask(look("1", 200))).singleElement().asString().startsWith("E");
            assertThat(replica.ended.take()).isEqualTo("ended");
            replica.script = rows("back", "replica");
            primary.script = rows("back", "primary");
            List<String> answer = c.ask(look("2", 9000));
            while (answer.get(0).startsWith("E")) { // The module may refuse a share while it doubts.
                answer = c.ask(look("2", 9000));
            }
            assertThat(value(answer)).isEqualTo("back");
        }
    }

    @Test
    void aClientThatGoesAwayFreesItsServer() throws Exception {
        replica.script = (text, link) -> {};
        start();
        try (PoolerHarness.Link c = stage.client()) {
            c.send(query(look("1", 9000)));
            assertThat(replica.next()).contains("id=1,");
        }
        assertThat(replica.ended.take()).isEqualTo("ended");
    }

    @Test
    void malformedInputEndsItsOwnConnectionAlone() throws Exception {
        start();
        try (PoolerHarness.Link good = stage.client();
                PoolerHarness.Link bad = stage.client();
                PoolerHarness.Link early = new PoolerHarness.Link(stage.connect())) {
            bad.send(new byte[] {'Q', 127, -1, -1, -1});
            assertThat(bad.take()).startsWith("E").contains("|C08P01|");
            assertThat(bad.endsNext()).isTrue();
            early.send(new byte[] {-1, -1, -1, -1});
            assertThat(early.take()).startsWith("E");
            assertThat(good.ask("SELECT 1")).singleElement().asString().contains("|C22023|");
            assertThat(good.ask(look("1", 9000).replace("d=9000", "d=x")))
                    .singleElement()
                    .asString()
                    .contains("|C22023|");
            assertThat(value(good.ask(look("2", 9000)))).isEqualTo("from-replica");
            assertThat(stage.pooler.counters()).contains("malformed=4 ").contains("stray_exceptions=0 ");
        }
    }

    @Test
    void aMalformedServerCostsItsConnectionAlone() throws Exception {
        replica.script = (text, link) -> link.send(new byte[] {'T', -1, 0, 0, 0});
        start();
        try (PoolerHarness.Link c = stage.client()) {
            assertThat(value(c.ask(look("1", 9000)))).isEqualTo("from-primary");
        }
    }

    @Test
    void whatComesBehindAnAnswerIsNeverTakenForTheNextOne() throws Exception {
        replica.script = (text, link) -> {
            byte[] row = row(text.replaceAll(".*id=(\\w+),.*", "$1").replace("|", ""), "replica");
            link.send(row, PoolerHarness.READY, row, PoolerHarness.READY);
        };
        primary.script = replica.script;
        start();
        try (PoolerHarness.Link c = stage.client()) {
            for (int i = 0; i < 20; i++) {
                assertThat(value(c.ask(look("id" + i, 9000)))).isEqualTo("id" + i);
            }
            assertThat(stage.pooler.counters()).contains("stray_bytes=20 ");
        }
    }

    @Test
    void aSpoiltAnswerHasFailedAndIsTriedElsewhereAtOnce() throws Exception {
        byte[] good = row("spoilt", "replica");
        byte[] twoColumns = good.clone();
        twoColumns[6] = 2;
        byte[] tooLong = new String(good, java.nio.charset.StandardCharsets.ISO_8859_1)
                .replace("\6spoilt", "\7spoilt")
                .getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
        assertThat(tooLong).isNotEqualTo(good);
        List<byte[]> spoilt = List.of(
                twoColumns,
                tooLong,
                new byte[] {'D', 127, -1, -1, -1},
                new byte[] {'%', 0, 0, 1, 0},
                PoolerHarness.bytes('C', "SELECT 1|"),
                PoolerHarness.bytes('E', "Cunended"),
                PoolerHarness.bytes('Z', "II"));
        start();
        try (PoolerHarness.Link c = stage.client()) {
            for (byte[] answer : spoilt) {
                replica.script = (text, link) -> link.send(answer, PoolerHarness.READY);
                List<String> got = c.ask(look("1", 9000));
                assertThat(got).as("%s", new String(answer)).hasSize(3);
                assertThat(value(got)).isEqualTo("from-primary");
                assertThat(replica.ended.take()).isEqualTo("ended");
            }
        }
    }

    @Test
    void aReportThatCannotBeReadIsDroppedAndTheValueServed() throws Exception {
        replica.script = (text, link) -> link.send(
                row("good", "replica"),
                PoolerHarness.bytes('S', "load|x0=,util=?|"),
                PoolerHarness.bytes('S', "applied_ms|soon|"),
                PoolerHarness.bytes('S', "unended"),
                PoolerHarness.READY);
        start();
        try (PoolerHarness.Link c = stage.client()) {
            assertThat(value(c.ask(look("1", 9000)))).isEqualTo("good");
            assertThat(stage.pooler.counters()).contains("unread_reports=3 ").contains("malformed=0 ");
        }
    }

    @Test
    void aSlowReaderGetsEveryValueWholeAndInOrder() throws Exception {
        String large = "x".repeat(60_000);
        replica.script = rows(large, "replica");
        start();
        int n = 60;
        try (PoolerHarness.Link c = stage.client()) {
            for (int i = 0; i < n; i++) {
                c.send(query(look("q" + i, 9000)));
            }
            for (int i = 0; i < n; i++) {
                assertThat(value(c.takeAnswer())).isEqualTo(large);
            }
        }
    }

    @Test
    void atTheCapIdleClientsMakeRoomForNewOnes() throws Exception {
        stage.allMayWait = true;
        start();
        try (PoolerHarness.Link leaver = stage.client()) {
            leaver.send(PoolerHarness.bytes('X', "")); // One that has left must not be taken for an idle one.
            assertThat(leaver.endsNext()).isTrue();
        }
        List<PoolerHarness.Link> clients = new ArrayList<>();
        int idle = PoolerHarness.USUAL_CLIENTS / 3 - 1; // One more comes, and none is spared before it.
        for (int i = 0; i < idle; i++) {
            clients.add(stage.client());
            assertThat(value(clients.get(i).ask(look("c" + i, 9000)))).isEqualTo("from-replica");
        }
        replica.script = (text, link) -> {};
        primary.script = replica.script;
        for (int i = idle; i < PoolerHarness.MAX_CLIENTS - 16; i++) { // These hold their places by a request in hand.
            clients.add(stage.client());
            clients.get(i).send(query(look("c" + i, 9000)));
        }
        try (PoolerHarness.Link late = stage.client()) { // Once the first has been idle for long enough.
            assertThat(late.ask("")).containsExactly("I");
            assertThat(clients.get(0).endsNext()).isTrue();
        }
        while (!stage.pooler.counters().contains(" clients_evicted=1 clients_spared=0 ")) {
            Thread.onSpinWait(); // The client sees its end before the pooler counts it.
        }
        for (PoolerHarness.Link c : clients) {
            c.close();
        }
    }

    @Test
    void clientsThatAskOnceAndStayLeavePlacesForOthersAndInCalmAllStay() throws Exception {
        start();
        try (PoolerHarness.Link leaver = stage.client()) { // The one that saw the pooler become ready has gone, too.
            leaver.send(PoolerHarness.bytes('X', ""));
            assertThat(leaver.endsNext()).isTrue();
        }
        List<PoolerHarness.Link> clients = new ArrayList<>();
        int calm = PoolerHarness.USUAL_CLIENTS * 3 / 4;
        for (int i = 0; i < PoolerHarness.USUAL_CLIENTS; i++) {
            clients.add(stage.client());
            assertThat(value(clients.get(i).ask(look("c" + i, 9000)))).isEqualTo("from-replica");
            if (i < calm) {
                assertThat(stage.pooler.counters()).contains(" clients_spared=0 ");
            }
        }
        int closed = PoolerHarness.USUAL_CLIENTS - calm;
        while (!stage.pooler.counters().contains(" clients_spared=" + closed + " ")) {
            Thread.onSpinWait(); // The last answer comes before the next is spared.
        }
        for (int i = 0; i < closed; i++) { // The longest idle first.
            assertThat(clients.get(i).endsNext()).isTrue();
        }
        for (int i = closed; i < clients.size(); i++) {
            assertThat(value(clients.get(i).ask(look("d" + i, 9000)))).isEqualTo("from-replica");
        }
        for (PoolerHarness.Link c : clients) {
            c.close();
        }
    }

    @Test
    void anIdleClientWhoseRequestWaitsUnreadIsNotClosedButAnswered() throws Exception {
        primary.script = (text, link) -> {
            if (!text.startsWith("QINSERT")) {
                link.send(row("from-primary", "primary"), PoolerHarness.READY);
            }
        };
        start();
        List<PoolerHarness.Link> idle = new ArrayList<>();
        List<PoolerHarness.Link> others = new ArrayList<>();
        for (int i = 0; i < PoolerHarness.USUAL_CLIENTS / 3; i++) {
            idle.add(stage.client());
            assertThat(value(idle.get(i).ask(look("c" + i, 9000)))).isEqualTo("from-replica");
        }
        for (int i = idle.size(); i < PoolerHarness.USUAL_CLIENTS * 3 / 4 - 1; i++) { // With a request, not idle.
            others.add(stage.client());
            others.get(others.size() - 1).send(query(post("p" + i, 9000)));
        }
        List<PoolerHarness.Link> late = List.of(stage.client(), stage.client());
        int longest = late.size() + 2; // So many are looked at, and more than those that might be closed.
        // The I/O thread stands still while all of them ask, the late ones what is answered at once.
        stage.whileItStandsStill(() -> {
            for (PoolerHarness.Link c : late) {
                c.send(query(""));
            }
            for (int i = 0; i < longest; i++) {
                idle.get(i).send(query(look("d" + i, 9000)));
            }
        });
        for (PoolerHarness.Link c : idle.subList(0, longest)) {
            assertThat(value(c.takeAnswer())).startsWith("from-");
        }
        for (PoolerHarness.Link c : late) {
            assertThat(c.takeAnswer()).containsExactly("I");
        }
        others.addAll(idle);
        others.addAll(late);
        for (PoolerHarness.Link c : others) {
            c.close();
        }
    }

    @Test
    void silentClientsKeepNobodyOutAndAreToldAndClosed() throws Exception {
        start();
        List<PoolerHarness.Link> silent = new ArrayList<>();
        for (int i = 0; i < 2 * PoolerHarness.MAX_CLIENTS; i++) {
            silent.add(new PoolerHarness.Link(stage.connect()));
        }
        try (PoolerHarness.Link c = stage.client()) {
            assertThat(value(c.ask(look("1", 9000)))).isEqualTo("from-replica");
        }
        PoolerHarness.Link last = silent.get(silent.size() - 1);
        last.send(PoolerHarness.startup(), java.util.Arrays.copyOf(query(look("2", 9000)), 40));
        last.takeAnswer();
        assertThat(last.take()).startsWith("E").contains("|C57P05|");
        assertThat(last.endsNext()).isTrue();
        for (PoolerHarness.Link c : silent) {
            c.close();
        }
        assertThat(stage.pooler.counters()).contains(" requests=1 ");
    }

    @Test
    void theIdOfAnOpenRequestIsNotSentASecondTime() throws Exception {
        replica.script = (text, link) -> {};
        start();
        try (PoolerHarness.Link c = stage.client();
                PoolerHarness.Link thief = stage.client()) {
            c.send(query(look("1", 9000)));
            assertThat(replica.next()).contains("id=1,");
            assertThat(thief.ask(look("1", 9000))).singleElement().asString().contains("|C22023|");
            assertThat(stage.pooler.counters()).contains(" attempts=1 ");
        }
    }

    @Test
    void aStatementInNeitherFormReachesNoServer() throws Exception {
        start();
        try (PoolerHarness.Link c = stage.client()) {
            for (String bad : List.of(
                    look("1", 9000) + ";",
                    look("1", 9000).replace("records", "accounts"),
                    look("1", 9000).replace("id=1", "id="),
                    look("1", 9000).replace("c=look", "c=post"),
                    look("1", 9000).replace("7f3a", "7'f3a"),
                    post("1", 9000).replace("c=post", "c=look"),
                    post("1", 9000).replace("\\x9f03", "\\x9f0"),
                    post("1", 9000).replace(",k=5c0f", ""),
                    look("1", 9000).replace("d=9000", "d=-5"),
                    look("1", 9000).replace("look", "none"))) {
                assertThat(c.ask(bad)).as(bad).singleElement().asString().contains("|C22023|");
            }
            assertThat(stage.pooler.counters()).contains(" requests=0 ").contains(" malformed=10 ");
        }
    }

    @Test
    void theErrorArrivesThoughMuchIsStillUnread() throws Exception {
        start();
        try (PoolerHarness.Link c = stage.client()) {
            c.send(new byte[] {'Q', 3, -1, -1, -1}, new byte[900_000]);
            assertThat(c.take()).startsWith("E").contains("|C08P01|");
            assertThat(c.endsNext()).isTrue();
        }
    }

    @Test
    void withNearlyAllPlacesTakenARequestIsRefusedAtOnce() throws Exception {
        stage.allMayWait = true;
        replica.script = (text, link) -> {};
        primary.script = replica.script;
        start();
        List<PoolerHarness.Link> clients = new ArrayList<>();
        int busy = PoolerHarness.MAX_CLIENTS - 16;
        for (int i = 0; i < busy; i++) {
            clients.add(stage.client());
            clients.get(i).send(query(look("c" + i, 9000)));
        }
        while (!stage.pooler.counters().contains(" requests=" + busy + " ")) {
            Thread.onSpinWait();
        }
        clients.add(stage.client());
        List<String> answer = clients.get(busy).ask(look("last", 9000));
        assertThat(answer).singleElement().asString().contains("|C53300|").containsPattern("\\|D\\d+\\|");
        assertThat(stage.pooler.counters()).contains(" crowded_out=1 ");
        for (PoolerHarness.Link c : clients) {
            c.close();
        }
    }

    @Test
    void countersAreShownOnRequest() throws Exception {
        start();
        try (PoolerHarness.Link c = stage.client()) {
            c.ask(look("1", 9000));
            assertThat(value(c.ask("SHOW stats")))
                    .contains(" requests=1 ")
                    .contains(" served=1 ")
                    .contains("outcomes={OK=1}");
        }
    }

    @Test
    void withTiersStatedReadsKeepToThemAndTheOverviewIsShown() throws Exception {
        stage.operators = new OperatorSettings(
                Logging.Format.TEXT,
                Level.INFO,
                new OperatorSettings.Zones(List.of(new OperatorSettings.Tier(List.of(), 1)), 2),
                null);
        start();
        try (PoolerHarness.Link c = stage.client()) {
            assertThat(value(c.ask(look("1", 9000)))).isEqualTo("from-replica");
            assertThat(value(c.ask("SHOW zones")))
                    .contains("sent_by_tier=[1, 0]")
                    .contains("replicas={0={UP=1}}");
            stage.pooler.reload(
                    frostreel.config.Config.load(
                            PoolerHarness.environment(PoolerHarness.configuration(stage.discovery.address()))),
                    stage.operators);
            while (!value(c.ask("SHOW zones")).contains("sent_by_tier=[0, 0]")) {
                Thread.onSpinWait(); // The reload waits its turn on the I/O thread.
            }
        }
    }

    @Test
    void readyOnlyOnceTheListIsKnown() throws Exception {
        stage.startSilent();
        try (PoolerHarness.Link c = stage.client()) {
            assertThat(c.ask("")).singleElement().asString().contains("|C57P03|");
            stage.lists.add(list(1, true, host("a", primary, "primary", "Ready")));
            // The next call comes right after the list was taken.
            assertThat(stage.discovery.next()).startsWith("GET /discovery/hosts HTTP");
            assertThat(stage.discovery.next()).startsWith("GET /discovery/hosts?index=1&wait=");
            List<String> answer = c.ask("");
            while (answer.get(0).startsWith("E")) {
                answer = c.ask("");
            }
            assertThat(answer).containsExactly("I");
        }
    }

    /** Fourteen poolers that each closed the first server's cost that server 45 handshakes a second. */
    @Test
    void withAllServerConnectionsTakenTheLongestIdleMakesRoomWhoseverItIs() throws Exception {
        List<String> order = List.of("d", "c", "b", "a", "e"); // Not the order of any table of names.
        Map<String, PoolerHarness.Peer> servers = new HashMap<>();
        List<String> hosts = new ArrayList<>();
        int atOnce = PoolerHarness.MAX_SERVERS / 4;
        for (String id : order) {
            CountDownLatch together = new CountDownLatch(id.equals("e") ? 1 : atOnce);
            servers.put(id, stage.server((text, link) -> {
                together.countDown();
                try {
                    together.await();
                } catch (InterruptedException ended) {
                    throw new IOException(ended);
                }
                link.send(row(id, "primary"), PoolerHarness.READY);
            }));
            hosts.add(host(id, servers.get(id), "primary", "Ready")
                    .replace("\"block\":2", "\"block\":" + (int) id.charAt(0)));
        }
        stage.start(hosts.toArray(String[]::new));
        for (String id : order) {
            List<PoolerHarness.Link> clients = new ArrayList<>();
            for (int i = 0; i < (id.equals("e") ? 1 : atOnce); i++) {
                clients.add(stage.client());
                clients.get(i).send(query(post(id + i, 9000).replace("cluster=2", "cluster=" + (int) id.charAt(0))));
            }
            for (PoolerHarness.Link c : clients) {
                assertThat(value(c.takeAnswer())).isEqualTo(id);
                c.close();
            }
        }
        assertThat(servers.get("d").ended.take()).isEqualTo("ended");
        assertThat(stage.pooler.counters())
                .contains("server_connections=" + (PoolerHarness.MAX_SERVERS + 1) + " ")
                .contains("server_connections_evicted=1 ");
        for (String id : List.of("c", "b", "a", "e")) {
            assertThat(servers.get(id).ended).as(id).isEmpty();
        }
    }

    /** Many that start at once and each ask for the whole list keep discovery from answering any of them. */
    @Test
    void startedWithAListItServesWithoutDiscoveryAndAsksOnlyForWhatChanged() throws Exception {
        stage.startSilent(host("a", primary, "primary", "Ready"), host("b", replica, "replica", "Ready"));
        assertThat(stage.discovery.next()).startsWith("GET /discovery/hosts?index=0&wait=1 ");
        try (PoolerHarness.Link c = stage.client()) {
            untilReady(c);
            assertThat(value(c.ask(look("1", 9000)))).isEqualTo("from-replica");
            stage.lists.add(list(7, false, host("b", replica, "replica", "Terminating")));
            assertThat(stage.discovery.next()).contains("index=7&wait=2500 ");
            assertThat(value(c.ask(look("2", 9000)))).isEqualTo("from-primary");
            assertThat(stage.discovery.heard).isEmpty();
        }
    }

    /** A start may take longer than the rule on drains allows; what drained meanwhile counts as told. */
    @Test
    void nothingIsSentByTheListFromTheStartBeforeDiscoveryToldWhatChangedSince() throws Exception {
        stage.knownPatienceUs = Long.MAX_VALUE / 8;
        stage.startSilent(host("a", primary, "primary", "Ready"), host("b", replica, "replica", "Ready"));
        try (PoolerHarness.Link c = stage.client()) {
            assertThat(c.ask("")).singleElement().asString().contains("|C57P03|");
            assertThat(c.ask(look("1", 9000))).singleElement().asString().contains("|C53300|");
            stage.lists.add(list(7, false, host("b", replica, "replica", "Terminating")));
            untilReady(c);
            assertThat(value(c.ask(look("2", 9000)))).isEqualTo("from-primary");
        }
        assertThat(replica.heard).isEmpty();
        assertThat(stage.pooler.counters()).contains(" attempts=1 ");
    }

    private static void untilReady(PoolerHarness.Link c) throws IOException {
        for (List<String> answer = c.ask(""); !answer.equals(List.of("I")); answer = c.ask("")) {
            assertThat(answer).singleElement().asString().contains("|C57P03|");
        }
    }

    @Test
    void aListWhoseNumbersWentBackIsAskedForWhole() throws Exception {
        stage.startSilent(host("a", primary, "primary", "Ready"));
        stage.lists.add(list(9, false));
        stage.lists.add(list(3, false));
        stage.discovery.next();
        assertThat(stage.discovery.next()).contains("index=9&");
        assertThat(stage.discovery.next()).startsWith("GET /discovery/hosts HTTP");
    }

    @Test
    void aServerThatDrainsGetsNothingNew() throws Exception {
        start();
        try (PoolerHarness.Link c = stage.client()) {
            c.ask(look("1", 9000));
            assertThat(replica.heard).hasSize(1);
            stage.discovery.next();
            stage.discovery.next();
            stage.lists.add(list(2, false, host("b", replica, "replica", "Terminating")));
            assertThat(stage.discovery.next()).contains("index=2&");
            assertThat(replica.ended.take()).isEqualTo("ended"); // Its idle connection was closed.
            assertThat(value(c.ask(look("2", 9000)))).isEqualTo("from-primary");
            assertThat(replica.heard).hasSize(1);
        }
    }

    /** Its handshake may last longer than the rule on drains allows, and the request would follow it. */
    @Test
    void whatWaitsForAConnectionGoesElsewhereOnceItsServerDrainsOrMoves() throws Exception {
        PoolerHarness.Peer moved = stage.server(rows("from-moved", "replica"));
        replica.welcome = (text, link) -> replica.heard.add("a handshake that does not end");
        start();
        stage.discovery.next();
        stage.discovery.next();
        try (PoolerHarness.Link c = stage.client()) {
            c.send(query(look("1", 9000)));
            assertThat(replica.next()).isEqualTo("a handshake that does not end");
            stage.lists.add(list(2, false, host("b", replica, "replica", "Terminating")));
            assertThat(value(c.takeAnswer())).isEqualTo("from-primary");
            assertThat(replica.ended.take()).isEqualTo("ended");

            stage.lists.add(list(3, false, host("b", replica, "replica", "Ready")));
            assertThat(stage.discovery.next()).contains("index=2&");
            assertThat(stage.discovery.next()).contains("index=3&");
            c.send(query(look("2", 9000)));
            assertThat(replica.next()).isEqualTo("a handshake that does not end");
            stage.lists.add(list(4, false, host("b", moved, "replica", "Ready")));
            assertThat(value(c.takeAnswer())).isEqualTo("from-primary");
            assertThat(replica.ended.take()).isEqualTo("ended");
            assertThat(value(c.ask(look("3", 9000)))).isEqualTo("from-moved");
        }
        assertThat(stage.pooler.counters()).contains("outcomes={OK=3, NOT_SENT=2}");
    }

    @Test
    void aServerThatEndsItsConnectionsBehindTheirHandshakeKeepsNoRequestWaiting() throws Exception {
        replica.welcome = (text, link) -> {
            link.send(PoolerHarness.bytes('R', new byte[4]), PoolerHarness.READY);
            link.close();
        };
        start();
        try (PoolerHarness.Link c = stage.client()) {
            for (int i = 0; i < 50; i++) {
                assertThat(value(c.ask(look("id" + i, 9000)))).isEqualTo("from-primary");
            }
        }
        assertThat(stage.pooler.counters()).doesNotContain("NOT_SENT").doesNotContain("TIMEOUT");
    }

    @Test
    void theListStaysWhileDiscoveryIsAway() throws Exception {
        start();
        stage.discovery.close();
        stage.lists.add("not a list");
        while (stage.pooler.counters().contains("discovery_failures=0 ")) {
            Thread.onSpinWait();
        }
        try (PoolerHarness.Link c = stage.client()) {
            assertThat(value(c.ask(look("1", 9000)))).isEqualTo("from-replica");
        }
    }

    @Test
    void aHangupTakesTheNewDiscoveryAndNeverEndsTheProgram() throws Exception {
        BlockingQueue<String> lists = new LinkedBlockingQueue<>();
        PoolerHarness.Peer next = stage.discovery(lists);
        Map<String, String> environment =
                new HashMap<>(PoolerHarness.environment(PoolerHarness.configuration(stage.discovery.address())));
        Path file = Path.of(environment.get("GW_CONFIG"));
        environment.put("GW_DISCOVERY", stage.discovery.address()); // As old as the start: the file must win.
        Process program = PoolerHarness.program(environment);
        try (BufferedReader log = program.errorReader()) {
            stage.lists.add(list(7, true));
            PoolerHarness.await(log, "ready");
            Files.writeString(file, PoolerHarness.configuration(next.address()).replace("\"n0\"", "7"));
            PoolerHarness.hangUp(program);
            PoolerHarness.await(log, "field 'name' is not text; the configuration in force is kept");
            Files.writeString(file, PoolerHarness.configuration(next.address()));
            PoolerHarness.hangUp(program);
            assertThat(next.next()).startsWith("GET /discovery/hosts HTTP"); // The whole list.
            lists.add(list(3, true));
            assertThat(next.next()).contains("index=3&");
            stage.lists.add(list(8, true)); // To a watch that went on, it would bring its next call.
            stage.discovery.ended.take(); // The old watch has really ended.
            PoolerHarness.hangUp(program);
            program.toHandle().destroy(); // Its streams stay open.
            PoolerHarness.hangUp(program);
            PoolerHarness.await(log, "stopping");
            assertThat(program.waitFor()).isEqualTo(143); // By SIGTERM, after its end in order.
        } finally {
            program.destroyForcibly();
        }
    }

    @Test
    void aStartWithHangupsIgnoredIsToldOf() throws Exception {
        Map<String, String> environment =
                PoolerHarness.environment(PoolerHarness.configuration(stage.discovery.address()));
        ProcessBuilder builder = new ProcessBuilder(
                "/bin/sh",
                "-c",
                "trap '' HUP; exec \"$@\"",
                "sh",
                ProcessHandle.current().info().command().orElseThrow(),
                "-cp",
                System.getProperty("java.class.path"),
                "frostreel.cli.Main",
                "serve");
        builder.environment().putAll(environment);
        Process program = builder.start();
        try (BufferedReader log = program.errorReader()) {
            PoolerHarness.await(log, "SIGHUP was ignored at the start");
        } finally {
            program.destroyForcibly();
        }
    }

    @Test
    void aHangupTakesNewSettingsAndAFaultyFileNeverReplacesThem() throws Exception {
        Path settings = Files.createTempFile("settings", ".xml");
        String good = "<frostreel xmlns=\"urn:frostreel:settings:1\"><log format=\"json\"/></frostreel>";
        Files.writeString(settings, good);
        Process program = PoolerHarness.program(
                PoolerHarness.environment(PoolerHarness.configuration(stage.discovery.address())),
                "--settings",
                settings.toString());
        try (BufferedReader log = program.errorReader()) {
            stage.lists.add(list(7, true));
            PoolerHarness.await(log, "\"message\":\"ready\"");
            Files.writeString(settings, good.replace("json", "xml"));
            PoolerHarness.hangUp(program);
            PoolerHarness.await(log, "frostreel/log@format"); // Told in JSON still.
            Files.writeString(settings, good.replace("json", "text"));
            PoolerHarness.hangUp(program);
            PoolerHarness.await(log, "INFO frostreel.cli.Serve: the settings of");
        } finally {
            program.destroyForcibly();
        }
        Files.delete(settings);
    }

    private static Path stat(Process program) {
        return Path.of("/proc/" + program.pid() + "/stat");
    }

    /** What comes first on its sockets is the request, then the list: the order that would mislead it. */
    @Test
    void aPausedProcessThatWakesKnowsWhatDiscoveryToldBeforeItSends() throws Exception {
        Process program = PoolerHarness.program(PoolerHarness.environment(PoolerHarness.configuration(
                stage.discovery.address(),
                host("a", primary, "primary", "Ready"),
                host("b", replica, "replica", "Ready"))));
        try (BufferedReader log = program.errorReader()) {
            stage.lists.add(list(1, false));
            String listening = PoolerHarness.await(log, "listening on /127.0.0.1:");
            PoolerHarness.await(log, "ready");
            assertThat(stage.told.take()).isEqualTo("told");
            int port = Integer.parseInt(listening.replaceAll(".*127.0.0.1:(\\d+) .*", "$1"));
            try (PoolerHarness.Link c = new PoolerHarness.Link(new Socket("127.0.0.1", port))) {
                c.send(PoolerHarness.startup());
                c.takeAnswer();
                assertThat(value(c.ask(look("1", 9000)))).isEqualTo("from-replica");
                PoolerHarness.signal(program, "STOP");
                while (!Files.readString(stat(program)).contains(") T ")) {
                    Thread.onSpinWait();
                }
                long pausedAt = System.nanoTime();
                c.send(query(look("2", 9000)));
                stage.lists.add(list(2, false, host("b", replica, "replica", "Terminating")));
                assertThat(stage.told.take()).isEqualTo("told");
                PoolerHarness.pass(pausedAt, 300); // What a silence is.
                PoolerHarness.signal(program, "CONT");
                assertThat(value(c.takeAnswer())).isEqualTo("from-primary");
                assertThat(replica.heard).hasSize(1);
            }
        } finally {
            program.destroyForcibly().waitFor();
        }
    }

    /** What waited while the process did has no more time than its client: the time began at the sending. */
    @Test
    void theTimeThatARequestWaitedForAPausedProcessIsNotGivenTwice() throws Exception {
        long pausedMs = 600;
        Process program = PoolerHarness.program(PoolerHarness.environment(PoolerHarness.configuration(
                stage.discovery.address(),
                host("a", primary, "primary", "Ready"),
                host("b", replica, "replica", "Ready"))));
        try (BufferedReader log = program.errorReader()) {
            stage.lists.add(list(1, false));
            String listening = PoolerHarness.await(log, "listening on /127.0.0.1:");
            PoolerHarness.await(log, "ready");
            int port = Integer.parseInt(listening.replaceAll(".*127.0.0.1:(\\d+) .*", "$1"));
            try (PoolerHarness.Link c = new PoolerHarness.Link(new Socket("127.0.0.1", port));
                    PoolerHarness.Link late = new PoolerHarness.Link(new Socket("127.0.0.1", port))) {
                c.send(PoolerHarness.startup());
                c.takeAnswer();
                PoolerHarness.signal(program, "STOP");
                while (!Files.readString(stat(program)).contains(") T ")) {
                    Thread.onSpinWait();
                }
                c.send(query(post("1", 9000)));
                late.send(PoolerHarness.startup(), query(post("2", 300)));
                PoolerHarness.pass(System.nanoTime(), pausedMs);
                PoolerHarness.signal(program, "CONT");
                assertThat(value(c.takeAnswer())).isEqualTo("from-primary");
                assertThat(Integer.parseInt(primary.next()
                                .replaceAll(".*,d=(\\d+),.*", "$1")
                                .replace("|", "")))
                        .isLessThanOrEqualTo((int) (9000 - pausedMs));
                late.takeAnswer();
                assertThat(late.takeAnswer()).singleElement().asString().contains("|C53300|");
                assertThat(primary.heard).isEmpty();
            }
        } finally {
            program.destroyForcibly().waitFor();
        }
    }

    @Test
    void aStopAnswersWhatWasTakenAndThenClosesItsClients() throws Exception {
        List<String> faults = new CopyOnWriteArrayList<>();
        Handler handler = new StreamHandler() {
            @Override
            public void publish(LogRecord r) {
                if (r.getLevel().intValue() >= Level.WARNING.intValue()) {
                    faults.add(r.getLevel() + " " + r.getMessage());
                }
            }
        };
        Logger root = Logger.getLogger("");
        root.addHandler(handler);
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch answer = new CountDownLatch(1);
        replica.script = (text, link) -> {
            asked.countDown();
            try {
                answer.await();
            } catch (InterruptedException e) {
                throw new java.io.IOException(e);
            }
            link.send(row("late", "replica"), PoolerHarness.READY);
        };
        start();
        try (PoolerHarness.Link c = stage.client();
                PoolerHarness.Link idle = stage.client()) {
            c.send(query(look("1", 9000)));
            asked.await();
            Thread stop = new Thread(() -> {
                try {
                    stage.pooler.stop();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            stop.start();
            String last = "";
            for (int i = 0; !last.matches(".*d=(3[0-2]|[12]?.)..,.*"); i++) { // Until SIGKILL, not 9 s.
                assertThat(value(idle.ask(post("s" + i, 9000)))).isEqualTo("from-primary");
                last = primary.next();
            }
            assertThat(idle.endsNext()).isTrue(); // An idle client is closed while the other is still served.
            answer.countDown();
            assertThat(value(c.takeAnswer())).isEqualTo("late");
            assertThat(c.endsNext()).isTrue();
            stop.join();
            stage.pooler = null;
        } finally {
            root.removeHandler(handler);
        }
        assertThat(faults).isEmpty(); // A timer set while the thread ends was once an exception.
    }

    @Test
    void aReplicaTooFarBehindIsAMiss() throws Exception {
        replica.script = errors("72000", "replica");
        start();
        try (PoolerHarness.Link c = stage.client()) {
            assertThat(value(c.ask(look("1", 9000)))).isEqualTo("from-primary");
            assertThat(stage.pooler.counters()).contains("WRONG_ROLE_OR_STALE=1");
        }
    }
}
