package frostreel.routing;

import static frostreel.routing.Recorder.ANY;
import static frostreel.routing.Recorder.FRESH;
import static frostreel.routing.Recorder.KEYED;
import static frostreel.routing.Recorder.KEYED_ANYWHERE;
import static frostreel.routing.Recorder.KEYED_IN_ZONE;
import static frostreel.routing.Recorder.SAFE_READ;
import static frostreel.routing.Recorder.SESSION;
import static frostreel.routing.Recorder.UNSAFE;
import static frostreel.routing.Recorder.trio;
import static frostreel.routing.Recorder.up;
import static frostreel.routing.Recorder.with;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Recorder.Setup;
import frostreel.routing.Router.ListKind;
import frostreel.routing.Router.ListRole;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import frostreel.routing.Router.SessionTracking;
import frostreel.routing.Router.StalenessCheck;
import frostreel.routing.Router.State;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The decisions, through the interface alone. */
class ChainRouterTest {
    // ---- The chain.

    @Test
    void aWriteGoesToTheListedPrimaryAndAMissMovesItOn() {
        Recorder r = trio();
        r.ask("w", UNSAFE);
        assertEquals("a", r.last("w").member());
        r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertEquals("b", r.last("w").member());
        r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertEquals("c", r.last("w").member());
    }

    @Test
    void anAnswerAsPrimaryFixesTheHeadAndALateListDoesNotPullItBack() {
        Recorder r = trio();
        r.ask("w", KEYED);
        r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        r.end("w", Outcome.OK, Role.PRIMARY, 0);
        r.pass(20_000);
        r.list(ListKind.FULL, up("a", 0, true), up("b", 0, false), up("c", 1, false));
        r.ask("x", KEYED);
        assertEquals("b", r.last("x").member());
    }

    @Test
    void anOldReportDoesNotPullTheHeadBack() {
        Recorder r = trio();
        r.ask("w", KEYED);
        r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        r.end("w", Outcome.OK, Role.PRIMARY, 0);
        r.probeOk("a", Role.PRIMARY, r.now - 300_000);
        r.ask("x", KEYED);
        assertEquals("b", r.last("x").member());
    }

    @Test
    void aFullRoundOfMissesHoldsWritesAndAPrimarysAnswerReleasesThem() {
        Recorder r = trio();
        r.ask("w", UNSAFE);
        for (int i = 0; i < 3; i++) {
            r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        }
        r.ask("x", UNSAFE);
        assertEquals(3, r.count("w"));
        assertNull(r.last("x"));
        r.pass(1_000_000);
        assertTrue(r.probed.containsAll(List.of("a", "b", "c")), "the walk visits the whole chain");
        assertTrue(r.refused.isEmpty() && r.failed.isEmpty());
        r.probeOk("c", Role.PRIMARY, r.now - 50_000);
        assertEquals("c", r.last("w").member());
        assertEquals("c", r.last("x").member());
    }

    @ParameterizedTest
    @EnumSource(value = Router.Probes.class, names = "REPORT", mode = EnumSource.Mode.EXCLUDE)
    void withoutProbesThatTellRolesTheWalkSendsOneHeldWrite(Router.Probes probes) {
        Setup s = new Setup();
        s.probes = probes;
        Recorder r = s.start(up("a", 0, true), up("b", 0, false), up("c", 1, false));
        r.ask("w", UNSAFE);
        for (int i = 0; i < 3; i++) {
            r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        }
        r.ask("x", UNSAFE);
        r.pass(100_000);
        assertTrue(r.probed.isEmpty());
        assertEquals(4, r.count("w") + r.count("x"), "one held write out, the rest wait");
    }

    @Test
    void releaseDoesNotFloodTheNewPrimary() {
        Recorder r = trio();
        r.ask("w0", UNSAFE);
        for (int i = 0; i < 3; i++) {
            r.end("w0", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        }
        for (int i = 1; i < 50; i++) {
            r.ask("w" + i, UNSAFE);
        }
        long before = r.countTo("b");
        r.pass(50_000);
        r.probeOk("b", Role.PRIMARY, r.now);
        long first = r.countTo("b") - before;
        assertTrue(first >= 1 && first <= 8, "let out at once: " + first);
    }

    @Test
    void withNoRoleListedReadsAskBeforeTheyTrustAnyone() {
        Setup s = new Setup();
        s.listRole = ListRole.SILENT;
        Recorder r = s.start(up("a", 0, false), up("b", 0, false));
        r.ask("q", SAFE_READ);
        assertNull(r.last("q"));
        assertFalse(r.probed.isEmpty());
        r.probeOk(r.probed.get(0), Role.REPLICA, r.now - 100_000);
        assertEquals(r.probed.get(0), r.last("q").member());
    }

    @Test
    void missesAloneEndInARefusalBeforeTheDeadline() {
        Recorder r = trio();
        r.ask("w", UNSAFE, 0, 2_000_000);
        for (int i = 0; i < 3; i++) {
            r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        }
        r.pass(2_000_000);
        assertEquals(List.of("w"), r.refused);
        assertTrue(r.advice.get(0) > 0);
        assertTrue(r.failed.isEmpty());
    }

    // ---- The five rules.

    @ParameterizedTest
    @EnumSource(Outcome.class)
    void anUnsafeWriteIsTriedAgainOnlyAfterProofThatItNeverRan(Outcome outcome) {
        Recorder r = trio();
        r.ask("w", UNSAFE);
        r.end("w", outcome);
        r.pass(1_000_000);
        if (outcome == Outcome.OK) {
            assertTrue(r.failed.isEmpty() && r.refused.isEmpty());
        } else if (outcome.provesNotRun) {
            assertTrue(r.count("w") > 1, "sent again");
            assertTrue(r.failed.isEmpty());
        } else {
            assertEquals(1, r.count("w"));
            assertEquals(List.of("w"), r.failed);
            assertTrue(r.refused.isEmpty(), "a refusal would say that it never ran");
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"ERROR", "TIMEOUT", "RESET", "CANCELLED"})
    void aKeyedWriteIsSentAgainInsideItsWindowAndFailsAfterIt(Outcome doubt) {
        Recorder r = trio();
        r.ask("w", KEYED, 0, 4_900_000);
        long first = r.now;
        long n = 0;
        while (r.failed.isEmpty() && r.now < first + 4_900_000) {
            if (r.count("w") > n) {
                n = r.count("w");
                assertTrue(r.now < first + 3_000_000, "sent past the window");
                r.pass(30_000);
                r.end("w", doubt);
            }
            r.pass(10_000);
        }
        assertTrue(n > 1);
        assertEquals(List.of("w"), r.failed);
        assertTrue(r.refused.isEmpty());
        assertTrue(r.now < first + 3_100_000, "failed at once when nothing more could be tried");
    }

    /** Given up at a few times its usual time, it went there again, and the primary did its work twice. */
    @ParameterizedTest
    @CsvSource({"NaN, false", "0.5, false", "0.9, true", "1, true"})
    void aWriteToAPrimaryThatSaysItIsBusyIsNotSentThereTwice(double util, boolean waits) {
        Recorder r = trio();
        r.ask("v", KEYED);
        r.end("v", Outcome.OK, Role.PRIMARY, 0);
        r.router.onProbe(r.now, "a", true, 1_000, new Router.Report(r.now, Role.PRIMARY, util, Double.NaN, Double.NaN));
        r.ask("w", KEYED, 0, 2_900_000);
        assertEquals("a", r.last("w").member());
        assertEquals(waits, r.last("w").timeoutUs() == 2_900_000, "given all its time");
    }

    @Test
    void aKeyThatAllMembersKnowMayBeRefusedAfterDoubt() {
        Setup s = new Setup();
        s.maxAttempts = 1;
        Recorder r = s.start(up("a", 0, true));
        r.ask("w", KEYED_ANYWHERE);
        r.end("w", Outcome.TIMEOUT);
        assertEquals(List.of("w"), r.refused);
    }

    @Test
    void everyRequestGetsExactlyOneAnswerInTime() {
        Recorder r = new Setup().start();
        for (int cls = 0; cls <= KEYED_ANYWHERE; cls++) {
            r.ask("q" + cls, cls, 0, 900_000);
        }
        r.pass(900_000);
        assertEquals(7, r.refused.stream().distinct().count());
        assertEquals(7, r.refused.size() + r.failed.size());
        assertTrue(r.sent.isEmpty());
    }

    @Test
    void anOutcomeAtTheDeadlineIsAnsweredThereAndThen() {
        Recorder r = trio();
        r.ask("w", UNSAFE, 0, 1_000_000);
        r.pass(1_005_000);
        r.end("w", Outcome.TIMEOUT);
        assertEquals(List.of("w"), r.failed);
    }

    @Test
    void neverTwoAttemptsOutTogether() {
        Recorder r = trio();
        r.ask("w", KEYED);
        r.pass(2_900_000);
        assertEquals(1, r.count("w"));
    }

    @ParameterizedTest
    @ValueSource(ints = {SAFE_READ, SESSION, FRESH, KEYED, UNSAFE, ANY})
    void nothingGoesToADrainingOrGoneMember(int cls) {
        for (State state : List.of(State.DRAINING, State.GONE)) {
            Recorder r = trio();
            r.list(ListKind.CHANGES, with(up("a", 0, true), state, 0));
            r.probeOk("a", Role.PRIMARY, r.now);
            r.ask("q", cls);
            r.pass(3_000_000);
            assertEquals(0, r.countTo("a"));
        }
    }

    /** A chain that kept every replaced machine would grow with each deploy. */
    @Test
    void aMemberLongGoneIsForgottenAndItsGroupGoesOn() {
        Recorder r = trio();
        r.list(ListKind.FULL, up("b", 0, false), up("c", 1, false));
        r.pass(200_000_000);
        r.list(ListKind.FULL, up("b", 0, false), up("c", 1, false));
        r.router.onProbe(r.now, "a", false, 1_000, null);
        r.ask("w", UNSAFE);
        r.pass(50_000);
        r.end("w", Outcome.OK, Role.PRIMARY, 0);
        assertEquals(0, r.countTo("a"));
        assertEquals(1, r.sent.size());
    }

    @Test
    void aMemberMissingFromAFullListIsGone() {
        Recorder r = trio();
        r.list(ListKind.FULL, up("b", 0, false), up("c", 1, false));
        r.ask("w", UNSAFE);
        r.pass(500_000);
        assertEquals(0, r.countTo("a"));
    }

    @Test
    void whereOnlyDrainingBindsAGoneMemberMayStillServe() {
        Setup s = new Setup();
        s.onlyDraining = true;
        Recorder r = s.start(up("a", 0, true));
        r.list(ListKind.FULL);
        r.ask("w", UNSAFE);
        assertEquals("a", r.last("w").member());
        r.list(ListKind.CHANGES, with(up("a", 0, true), State.DRAINING, 0));
        r.ask("x", UNSAFE);
        assertNull(r.last("x"));
    }

    @Test
    void aFailedListChangesNothingAndIsAskedForAgain() {
        Setup s = new Setup();
        s.subscribe = true;
        Recorder r = s.start(up("a", 0, true));
        assertEquals(1, r.subscriptions);
        r.list(ListKind.FAILED);
        r.ask("w", UNSAFE);
        assertEquals("a", r.last("w").member());
        r.pass(1_000_000);
        assertEquals(2, r.subscriptions);
    }

    @Test
    void aColdMemberGetsAShareOfWhatAWarmOneHasServed() {
        Recorder r =
                new Setup().start(up("a", 0, true), up("b", 0, false), with(up("c", 0, false), State.UP, 99_900_000));
        for (int i = 0; i < 400; i++) {
            r.ask("q" + i, ANY);
            r.pass(10_000);
            if (r.last("q" + i) != null) {
                r.end("q" + i, Outcome.OK, Role.REPLICA, r.now);
            }
        }
        assertTrue(r.countTo("c") > 0, "it gets some");
        assertTrue(r.countTo("c") < r.countTo("b") / 2, r.countTo("c") + " against " + r.countTo("b"));
    }

    /** A storm of turn-aways at the warm members once raised the cold one's share past what it could do. */
    @Test
    void turnedAwayWorkDoesNotRaiseAColdMembersShare() {
        Recorder r =
                new Setup().start(up("a", 0, true), up("b", 0, false), with(up("c", 0, false), State.UP, 99_900_000));
        for (int i = 0; i < 300; i++) {
            r.ask("q" + i, ANY);
            for (int j = 0;
                    j < 3
                            && r.last("q" + i) != null
                            && !r.last("q" + i).member().equals("c");
                    j++) {
                r.end("q" + i, Outcome.REJECTED, Role.REPLICA, r.now);
            }
            r.pass(5_000);
        }
        assertTrue(r.countTo("c") <= 1, "sent " + r.countTo("c"));
    }

    @Test
    void aBoundedReadNeedsAPositionInsideItsBound() {
        Recorder r = trio();
        r.probeOk("b", Role.REPLICA, r.now - 900_000);
        r.probeOk("c", Role.REPLICA, r.now - 700_000);
        r.ask("q", SAFE_READ);
        assertEquals("c", r.last("q").member());
    }

    @Test
    void aSessionReadNeedsItsCommitAndOneWithoutWritesTakesAnyReplica() {
        Recorder r = trio();
        r.probeOk("b", Role.REPLICA, r.now - 400_000);
        r.probeOk("c", Role.REPLICA, r.now - 400_000);
        r.ask("none", SESSION, 0, 1_000_000);
        assertNotEquals("a", r.last("none").member());
        r.ask("old", SESSION, 500_000, 1_000_000);
        assertNotEquals("a", r.last("old").member());
        r.ask("new", SESSION, 100_000, 1_000_000);
        assertEquals("a", r.last("new").member());
    }

    @Test
    void rememberedCommitsBindTheSessionsReads() {
        Setup s = new Setup();
        s.sessionTracking = SessionTracking.REMEMBERED;
        Recorder r = s.start(up("a", 0, true), up("b", 0, false));
        r.probeOk("b", Role.REPLICA, r.now - 100_000);
        r.ask("w", UNSAFE);
        r.end("w", Outcome.OK, Role.PRIMARY, r.now - 5_000);
        r.pass(10_000);
        r.ask("q", SESSION);
        r.pass(700_000);
        assertEquals(0, r.countTo("b"));
        r.probeOk("b", Role.REPLICA, r.now - 50_000);
        r.ask("q2", SESSION);
        assertEquals("b", r.last("q2").member());
    }

    /** Its server may have answered, and the answer be lost: what it told counts as known all the same. */
    @Test
    void aWriteInDoubtBindsTheSessionsReads() {
        Setup s = new Setup();
        s.sessionTracking = SessionTracking.REMEMBERED;
        Recorder r = s.start(up("a", 0, true), up("b", 0, false));
        r.probeOk("b", Role.REPLICA, r.now - 10_000);
        r.ask("w", UNSAFE);
        r.pass(150_000);
        r.ask("while out", SESSION);
        r.end("w", Outcome.RESET);
        r.ask("after", SESSION);
        r.pass(150_000);
        assertEquals(0, r.countTo("b"));
        r.probeOk("b", Role.REPLICA, r.now - 50_000);
        r.ask("caught up", SESSION);
        assertEquals("b", r.last("caught up").member());
    }

    /** While an attempt waits for its connection, more may have become known that its answer must hold. */
    @Test
    void whatWaitsForItsConnectionStandsOnlyWhileItsMemberIsNewEnough() {
        Setup s = new Setup();
        s.sessionTracking = SessionTracking.REMEMBERED;
        Recorder r = s.start(up("a", 0, true), up("b", 0, false));
        r.probeOk("b", Role.REPLICA, r.now - 100_000);
        r.ask("w", UNSAFE);
        r.ask("q", SESSION);
        assertEquals("b", r.last("q").member());
        assertEquals(true, r.router.mayStillBegin(r.now, "q"));
        r.end("w", Outcome.OK, Role.PRIMARY, r.now - 5_000);
        assertEquals(false, r.router.mayStillBegin(r.now, "q"));
        r.end("q", Outcome.NOT_SENT);
        assertEquals("a", r.last("q").member());
    }

    /** Where it ran a zone's members drop it by its key; those of another zone would run it again. */
    @ParameterizedTest
    @CsvSource({
        "TIMEOUT, b, true",
        "TIMEOUT, c, false",
        "ERROR, c, false",
        "RESET, c, false",
        "WRONG_ROLE_OR_STALE, b, true"
    })
    void aKeyThatOneZoneKnowsIsRepeatedThereAlone(Outcome first, String primary, boolean again) {
        Recorder r = trio(); // a and b are in one zone, c is in another.
        r.ask("w", KEYED_IN_ZONE);
        assertEquals("a", r.last("w").member());
        r.end("w", first);
        r.probeOk(primary, Role.PRIMARY, r.now + 1);
        r.pass(3_200_000);
        assertEquals(again, r.countTo(primary) > 0);
        assertEquals(again ? List.of() : List.of("w"), r.failed);
        assertEquals(List.of(), r.refused);
    }

    /** Its budget was another when it was chosen: connections to one that comes back come up all at once. */
    @Test
    void whatWaitsForItsConnectionIsSentToAMemberThatStartedMeanwhileOnlyAsOneOfItsFirst() {
        Recorder r = new Setup().start(up("a", 0, true), up("b", 0, false));
        r.probeOk("b", Role.REPLICA, r.now);
        r.ask("q", ANY);
        assertEquals("b", r.last("q").member());
        r.router.onMembers(r.now, ListKind.CHANGES, List.of(with(up("b", 0, false), State.UP, r.now)));
        assertEquals(false, r.router.mayStillBegin(r.now, "q"));
        r.end("q", Outcome.NOT_SENT);
        assertEquals("a", r.last("q").member());
    }

    /** A replica that holds a long query may apply nothing: spread over all, they would leave none new. */
    @Test
    void longQueriesKeepToTheReplicaThatIsFurthestBehind() {
        Recorder r = trio();
        for (int i = 0; i < 15; i++) {
            r.ask("teach" + i, ANY);
            Recorder.Sent s = r.last("teach" + i);
            r.router.onOutcome(
                    r.now,
                    s.request(),
                    s.attempt(),
                    s.member(),
                    Outcome.OK,
                    true,
                    3_000_000,
                    Role.REPLICA,
                    r.now - 1_000,
                    null);
        }
        for (int i = 0; i < 40; i++) {
            r.ask("short" + i, SESSION);
            r.end("short" + i, Outcome.OK, Role.REPLICA, r.now - 1_000);
        }
        r.pass(3_000_000);
        r.probeOk("b", Role.REPLICA, r.now - 5_000);
        long fresh = r.countTo("b");
        for (int i = 0; r.last("wait") == null && i < 50; i++) {
            r.ask("long" + i, ANY);
            if (r.count("long" + i) == 0) {
                r.ask("wait", ANY);
                break;
            }
            assertEquals("c", r.last("long" + i).member());
        }
        assertEquals(0, r.count("wait"));
        assertEquals(fresh, r.countTo("b"));
        r.pass(200_000);
        assertEquals(1, r.count("wait"), "it waits for a part of its aim only");
    }

    /** Each that waits holds a place that another cannot ask from; the longest has the least to gain. */
    @Test
    void beyondTheirPartOfClientsPlacesTheLongestWaitingMakesRoom() {
        Setup s = new Setup();
        s.concurrentRequestLimit = 6; // Two may be open.
        Recorder r = s.start(up("a", 0, true), up("b", 0, false));
        r.list(ListKind.CHANGES, with(up("a", 0, true), State.GONE, 0));
        r.list(ListKind.CHANGES, with(up("b", 0, false), State.GONE, 0));
        r.ask("first", KEYED);
        r.pass(1_000);
        r.ask("second", KEYED);
        assertTrue(r.refused.isEmpty());
        r.pass(1_000);
        r.ask("third", KEYED);
        assertEquals(List.of("first"), r.refused);
    }

    /** Forgotten commits may not free a session to read what is older than its write. */
    @Test
    void commitsThatAreForgottenStillBind() {
        Setup s = new Setup();
        s.sessionTracking = SessionTracking.REMEMBERED;
        Recorder r = s.start(up("a", 0, true), up("b", 0, false));
        r.ask("w", UNSAFE);
        long commit = r.now;
        r.end("w", Outcome.OK, Role.PRIMARY, commit);
        r.probeOk("b", Role.REPLICA, commit - 1_000_000);
        r.pass(200_000_000);
        r.router.onRequest(r.now, new Router.Request("other", UNSAFE, 43, 1, r.now + 2_000_000, 0, false));
        r.end("other", Outcome.OK, Role.PRIMARY, r.now);
        r.pass(10_000);
        r.ask("q", SESSION);
        r.pass(700_000);
        assertEquals(0, r.countTo("b"));
    }

    @Test
    void aDemotedPrimaryIsNoLongerTrustedWithReads() {
        Recorder r = trio();
        r.ask("w", UNSAFE);
        r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        r.ask("q", SAFE_READ);
        r.pass(300_000);
        assertNull(r.last("q"), "no member is proven fresh enough");
    }

    @Test
    void aCheckingReplicaMayBeTriedUnproven() {
        Setup s = new Setup();
        s.stalenessCheck = StalenessCheck.WAIT;
        Recorder r = s.start(up("a", 0, true), up("b", 0, false));
        r.ask("q", SAFE_READ);
        assertEquals("b", r.last("q").member());
        r.end("q", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertEquals("a", r.last("q").member());
    }

    // ---- Health and overload.

    @Test
    void aHungPrimaryGetsNoNewUnsafeWrites() {
        Recorder r = trio();
        for (int i = 0; i < 20; i++) {
            r.ask("warm" + i, UNSAFE);
            r.pass(50_000);
            r.end("warm" + i, Outcome.OK, Role.PRIMARY, r.now);
        }
        r.ask("stuck", UNSAFE);
        r.pass(1_500_000);
        r.ask("next", UNSAFE);
        r.probeOk("a", Role.PRIMARY, r.now);
        r.pass(100_000);
        assertNull(r.last("next"), "its probe says primary, its silence says otherwise");
        r.probeOk("b", Role.PRIMARY, r.now);
        assertEquals("b", r.last("next").member());
    }

    /** A member that turns away or cannot be reached answers at once and would draw a storm of attempts. */
    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"REJECTED", "CONNECT_FAILED"})
    void aFullOrUnreachableMemberIsLeftAloneForAWhile(Outcome outcome) {
        Recorder r = new Setup().start(up("a", 0, true), up("b", 0, false));
        for (int i = 0; i < 100; i++) {
            r.ask("q" + i, ANY);
            for (int j = 0; j < 2 && r.last("q" + i) != null; j++) {
                r.end("q" + i, Outcome.REJECTED, r.last("q" + i).member().equals("a") ? Role.PRIMARY : Role.REPLICA, 0);
            }
            r.pass(1_000);
        }
        assertTrue(r.sent.size() < 30, "attempts: " + r.sent.size());
    }

    @Test
    void aFailingReplicaLosesItsReadsButNotForEver() {
        Recorder r = new Setup().start(up("a", 0, true), up("b", 0, false), up("c", 0, false));
        for (int i = 0; i < 400; i++) {
            r.ask("q" + i, ANY);
            r.pass(10_000);
            Recorder.Sent s = r.last("q" + i);
            if (s.member().equals("b")) {
                r.end("q" + i, Outcome.ERROR, Role.REPLICA, 0);
            }
            r.end("q" + i, Outcome.OK, Role.REPLICA, r.now);
        }
        assertTrue(r.countTo("b") < r.countTo("c") / 4, r.countTo("b") + " against " + r.countTo("c"));
        long before = r.countTo("b");
        r.pass(20_000_000);
        for (int i = 0; i < 20; i++) {
            r.ask("later" + i, ANY);
            r.end("later" + i, Outcome.OK, Role.REPLICA, r.now);
        }
        assertTrue(r.countTo("b") > before);
    }

    /** Members that are gone once kept a read from its second round. */
    @Test
    void aReadThatMissedEveryUsableMemberIsTriedAgain() {
        Recorder r = trio();
        r.list(ListKind.FULL, up("a", 0, true), up("b", 0, false));
        r.ask("q", ANY);
        r.end("q", Outcome.ERROR, Role.REPLICA, 0);
        r.end("q", Outcome.ERROR, Role.PRIMARY, 0);
        r.pass(200_000);
        assertEquals(3, r.count("q"));
    }

    @Test
    void aCrawlingReplicaGetsLessThanItsPeer() {
        Recorder r = new Setup().start(up("a", 0, true), up("b", 0, false), up("c", 0, false));
        for (int i = 0; i < 300; i++) {
            r.ask("q" + i, ANY);
            r.pass(10_000);
            Recorder.Sent s = r.last("q" + i);
            r.router.onOutcome(
                    r.now,
                    s.request(),
                    s.attempt(),
                    s.member(),
                    Outcome.OK,
                    true,
                    s.member().equals("b") ? 500_000 : 50_000,
                    Role.REPLICA,
                    r.now,
                    null);
        }
        assertTrue(r.countTo("b") < r.countTo("c") / 4, r.countTo("b") + " against " + r.countTo("c"));
    }

    /** Health is relative: when all are slow, no majority is cut off. */
    @Test
    void whenAllAreSlowAllGoOnServing() {
        Recorder r = new Setup().start(up("a", 0, true), up("b", 0, false), up("c", 0, false));
        for (int i = 0; i < 200; i++) {
            r.ask("q" + i, ANY);
            r.pass(10_000);
            Recorder.Sent s = r.last("q" + i);
            assertTrue(s != null, "request " + i + " was kept back though nothing is out");
            r.router.onOutcome(
                    r.now,
                    s.request(),
                    s.attempt(),
                    s.member(),
                    Outcome.OK,
                    true,
                    900_000,
                    s.member().equals("a") ? Role.PRIMARY : Role.REPLICA,
                    r.now,
                    null);
        }
        assertTrue(r.countTo("b") > 50 && r.countTo("c") > 50);
    }

    /** Summed over hundreds of routers, probing and waking for nothing once outweighed the requests. */
    @Test
    void aRouterWithNothingWaitingNeitherProbesNorWakes() {
        Recorder r = trio();
        r.ask("q", ANY);
        r.pass(20_000);
        r.end("q", Outcome.OK, Role.REPLICA, r.now);
        r.pass(5_000_000);
        assertTrue(r.probed.isEmpty(), "probed " + r.probed);
        assertEquals(0, r.timersSet);
    }

    /** Probing every replica for one read costs a fleet of thin routers more than the reads. */
    @Test
    void anUnprovenReadAsksOneReplicaAtATimeAndThePrimaryLast() {
        Recorder r = trio();
        r.ask("q", SAFE_READ);
        assertEquals(List.of("b"), r.probed);
        r.probeOk("b", Role.REPLICA, r.now - 2_000_000);
        assertEquals(List.of("b", "c"), r.probed);
        r.probeOk("c", Role.REPLICA, r.now - 200_000);
        assertEquals("c", r.last("q").member());
    }

    /** Hundreds of routers that each rotate over all members fill their connection tables. */
    @Test
    void aThinRouterKeepsToTheReplicaItIsConnectedTo() {
        Recorder r = new Setup().start(up("a", 0, true), up("b", 0, false), up("c", 0, false));
        for (int i = 0; i < 8; i++) {
            r.ask("q" + i, ANY);
            r.pass(50_000);
            r.end("q" + i, Outcome.OK, Role.REPLICA, r.now);
            r.pass(4_000_000);
        }
        assertTrue(r.countTo("b") == 8 || r.countTo("c") == 8);
    }

    /** A read waiting for room once asked at every sweep: 16 probes a request on a jammed day. */
    @Test
    void aWaitingReadDoesNotAskOnAndOn() {
        Recorder r = new Setup().start(up("a", 0, false), up("b", 0, false), up("c", 0, false));
        r.ask("q", SAFE_READ);
        for (int i = 0; i < 40; i++) {
            for (String m : List.of("a", "b", "c")) {
                r.probeOk(m, Role.REPLICA, r.now - 2_000_000);
            }
            r.pass(10_000);
        }
        assertTrue(r.probed.size() <= 15, "probed " + r.probed.size());
    }

    /** With a window of one each, hundreds of routers jam a member; how requests end tells each. */
    @Test
    void aRouterWhoseRequestsAllEndLateRefusesMostAtOnceAndComesBack() {
        Recorder r = trio();
        int refused = 0;
        for (int i = 0; i < 60; i++) {
            r.ask("q" + i, ANY);
            refused += r.last("q" + i) == null ? 1 : 0;
            r.pass(200_000);
            if (r.last("q" + i) != null && !r.refused.contains("q" + i)) {
                r.end("q" + i, Outcome.TIMEOUT);
            }
        }
        assertTrue(refused > 20, "refused at once: " + refused);
        for (int i = 0; i < 100; i++) {
            r.ask("w" + i, ANY);
            assertTrue(i < 80 || r.last("w" + i) != null, "request " + i + " though all is well again");
            r.pass(200_000);
            if (r.last("w" + i) != null) {
                r.end("w" + i, Outcome.OK, Role.REPLICA, r.now);
            }
        }
    }

    /** With many poolers a sixth of all worth was writes refused at once, most with room at their head. */
    @Test
    void aJammedReplicaRefusesNoWrite() {
        Recorder r = trio();
        int ended = 0;
        for (int i = 0; i < 60; i++) {
            for (int j = 0; j < 6; j++) {
                r.ask("q" + i + j, ANY);
            }
            r.pass(200_000);
            for (; ended < r.sent.size(); ended++) { // Each that is ended may be followed by another.
                Recorder.Sent read = r.sent.get(ended);
                if (read.request().startsWith("q")) {
                    r.end(read.request(), read.member().equals("a") ? Outcome.ERROR : Outcome.TIMEOUT);
                }
            }
            r.ask("w" + i, UNSAFE);
            assertEquals("a", r.last("w" + i).member(), "write " + i);
            r.end("w" + i, Outcome.OK, Role.PRIMARY, r.now);
        }
        assertTrue(r.refused.size() > 10, "reads refused: " + r.refused.size());
    }

    /** Refusing is for jams: failures of a few members, or answers lost, may not turn requests away. */
    @Test
    void aThirdFailingRefusesNothingAtOnce() {
        Recorder r = trio();
        for (int i = 0; i < 90; i++) {
            r.ask("q" + i, UNSAFE);
            assertTrue(r.last("q" + i) != null, "request " + i);
            r.pass(100_000);
            r.end("q" + i, i % 3 == 2 ? Outcome.ERROR : Outcome.OK, Role.PRIMARY, r.now);
        }
    }

    /** On i633ad7 primaries that failed fast drew the refusals of most requests of all classes. */
    @Test
    void errorsAloneRefuseNothingElse() {
        Recorder r = trio();
        for (int i = 0; i < 60; i++) {
            r.ask("w" + i, UNSAFE);
            assertTrue(r.last("w" + i) != null, "request " + i);
            r.end("w" + i, Outcome.ERROR, Role.PRIMARY, 0);
            r.pass(100_000);
        }
    }

    /** Where no report tells that it is busy, its late answers do: the same write again adds to its queue. */
    @Test
    void aPrimaryThatWasLateKeepsItsWritesAndOneThatWasNotIsGivenUp() {
        Setup s = new Setup();
        s.probes = Router.Probes.LIVENESS;
        Recorder late = s.start(up("a", 0, true), up("b", 0, false));
        Recorder soon = s.start(up("a", 0, true), up("b", 0, false));
        for (int i = 0; i < 8; i++) {
            late.ask("w" + i, KEYED);
            soon.ask("w" + i, KEYED);
            soon.end("w" + i, Outcome.OK, Role.PRIMARY, soon.now);
            late.pass(400_000);
            soon.pass(400_000);
            late.router.onOutcome(late.now, "w" + i, 0, "a", Outcome.OK, true, 800_000, Role.PRIMARY, late.now, null);
        }
        late.ask("last", KEYED);
        soon.ask("last", KEYED);
        assertEquals(4_000_000, late.last("last").timeoutUs());
        assertTrue(
                soon.last("last").timeoutUs() < 1_500_000,
                "" + soon.last("last").timeoutUs());
    }

    /** Work alone took a quarter of an aim on some machines; cut for that, windows left them idle. */
    @Test
    void aMemberWhoseWorkTakesAThirdOfTheAimIsSentManyAtOnce() {
        Recorder r = new Setup().start(up("b", 0, false));
        for (int i = 0; i < 200; i++) {
            r.ask("q" + i, ANY);
            r.pass(200_000);
            if (r.last("q" + i) != null) {
                r.router.onOutcome(r.now, "q" + i, 0, "b", Outcome.OK, true, 200_000, Role.REPLICA, r.now, null);
            }
        }
        assertSentAtOnce(r, ANY);
    }

    /** Answers may arrive spoilt, from any member equally: no queue is shorter for fewer sent. */
    @Test
    void errorsThatCameInTimeLeaveRoomForAsManyAtOnceAsBefore() {
        Recorder r = new Setup().start(up("a", 0, true));
        for (int i = 0; i < 30; i++) {
            r.ask("w" + i, UNSAFE);
            r.pass(200_000);
            r.end("w" + i, Outcome.ERROR, Role.PRIMARY, 0);
        }
        assertSentAtOnce(r, UNSAFE);
    }

    private static void assertSentAtOnce(Recorder r, int cls) {
        for (int i = 0; i < 4; i++) {
            r.ask("at once " + i, cls);
            assertTrue(r.last("at once " + i) != null, "of four at once, number " + i + " waits");
        }
    }

    /** What waits in a member's queue past its use makes others late, where no window bounds the queue. */
    @Test
    void aReadThatEarnsNothingLateIsTimedOutAtItsAimOnceTheWindowIsAtItsFloor() {
        Recorder r = new Setup().start(up("a", 0, false));
        r.ask("q", ANY);
        r.pass(700_000);
        r.end("q", Outcome.TIMEOUT);
        r.pass(60_000_000);
        r.ask("q2", ANY);
        assertTrue(r.last("q2").timeoutUs() <= 600_000);
        assertTrue(r.last("q2").timeoutUs() > 100_000);
    }

    /** A list may name machines that are none of ours; each router would lose requests on finding out. */
    @Test
    void aMemberListedLaterGetsNothingBeforeItAnsweredAProbe() {
        Setup s = new Setup();
        s.onlyDraining = true;
        Recorder r = s.start(up("b", 0, true), up("c", 1, false));
        r.list(ListKind.CHANGES, up("a", 0, false));
        r.ask("q", ANY);
        r.ask("w", UNSAFE);
        assertEquals("c", r.last("q").member());
        assertEquals(List.of("a"), r.probed);
        r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertEquals("c", r.last("w").member(), "a stranger is the last of the chain");
        r.router.onProbe(r.now, "a", false, 1_000, null);
        r.ask("q2", ANY);
        assertEquals(0, r.countTo("a"));
        r.probeOk("a", Role.REPLICA, r.now);
        r.ask("q3", ANY);
        assertEquals("a", r.last("q3").member());
    }

    /** Strangers may not stay for ever where only draining binds. */
    @Test
    void aStrangerThatLeavesTheListIsForgotten() {
        Setup s = new Setup();
        s.onlyDraining = true;
        Recorder r = s.start(up("b", 0, true));
        r.list(ListKind.FULL, up("a", 0, false), up("b", 0, true));
        r.list(ListKind.FULL, up("b", 0, true));
        r.list(ListKind.FULL, up("b", 0, true));
        r.ask("w", UNSAFE);
        r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        r.pass(1_000_000);
        assertEquals(0, r.countTo("a"));
        assertFalse(r.probed.contains("a"));
    }

    /** Each of many thin routers owes a cold member less than one request; once each sent it a whole one. */
    @Test
    void manyThinRoutersTogetherSendAColdMemberAShareOnly() {
        long cold = 0;
        long warm = 0;
        for (int seed = 0; seed < 200; seed++) {
            Setup s = new Setup();
            s.seed = seed;
            Recorder r = s.start(up("a", 0, true), up("b", 0, false), up("c", 0, false));
            for (int i = 0; i < 12; i++) {
                if (i == 6) {
                    cold -= r.countTo("c");
                    warm -= r.countTo("b");
                    r.list(ListKind.CHANGES, with(up("c", 0, false), State.UP, r.now));
                }
                r.ask("q" + i, ANY);
                r.pass(50_000);
                if (r.last("q" + i) != null) {
                    r.end("q" + i, Outcome.OK, Role.REPLICA, r.now);
                }
                r.pass(500_000);
            }
            cold += r.countTo("c");
            warm += r.countTo("b");
        }
        assertTrue(cold > 0, "it gets some");
        assertTrue(cold < warm / 2, cold + " against " + warm);
    }

    @Test
    void nearReplicasComeFirstAndThePrimaryIsSpared() {
        Recorder r = trio();
        r.ask("q", ANY);
        assertEquals("b", r.last("q").member());
    }

    /** Oldest first, a backlog makes every request late. */
    @Test
    void aReadUnsentAtAlmostHalfItsTimeIsRefusedAndTheSentOnesGoOn() {
        Recorder r = trio();
        for (int i = 0; i < 30; i++) {
            r.ask("r" + i, ANY, 0, 800_000);
        }
        List<String> unsent = IntStream.range(0, 30)
                .mapToObj(i -> "r" + i)
                .filter(id -> r.count(id) == 0)
                .toList();
        assertFalse(unsent.isEmpty());
        r.pass(320_000);
        assertEquals(List.of(), r.refused);
        r.pass(50_000);
        Comparator<String> byNumber = Comparator.comparing(id -> Integer.valueOf(id.substring(1)));
        assertEquals(unsent, r.refused.stream().sorted(byNumber).toList());
    }

    @Test
    void theNewestWaitingReadIsServedFirst() {
        Recorder r = new Setup().start(up("a", 0, true), up("b", 0, false));
        int n = 0;
        while (r.last("q" + n) != null || n == 0) {
            r.ask("q" + ++n, ANY);
        }
        r.ask("newest", ANY);
        r.end("q1", Outcome.OK, Role.REPLICA, r.now);
        int newest = r.sent.indexOf(r.last("newest"));
        assertTrue(newest > 0, "let out");
        assertTrue(r.last("q" + n) == null || r.sent.indexOf(r.last("q" + n)) > newest);
    }

    /** Under overload, repeats took the room in which first tries would still have made their aim. */
    @Test
    void aMarkedRepeatWaitsBehindFirstTries() {
        Recorder r = new Setup().start(up("a", 0, true), up("b", 0, false));
        int n = 0;
        while (r.last("q" + n) != null || n == 0) {
            r.ask("q" + ++n, ANY);
        }
        r.repeat("repeat", ANY);
        for (int i = 1; i < n && r.last("repeat") == null; i++) {
            r.end("q" + i, Outcome.OK, Role.REPLICA, r.now);
        }
        int repeat = r.sent.indexOf(r.last("repeat"));
        assertTrue(repeat > 0);
        assertTrue(r.sent.indexOf(r.last("q" + n)) < repeat, "the waiting first try went before it");
        assertTrue(r.last("q" + n) != null);
    }

    @Test
    void aClientThatLeftIsForgottenAndItsAttemptCalledOff() {
        Recorder r = trio();
        r.ask("w", KEYED);
        r.router.onClientDisconnected(r.now, "w");
        r.router.onClientDisconnected(r.now, "never seen");
        assertEquals(List.of("w/0"), r.cancelled);
        r.end("w", Outcome.CANCELLED);
        r.pass(5_000_000);
        assertEquals(1, r.count("w"));
        assertTrue(r.failed.isEmpty() && r.refused.isEmpty());
    }

    @Test
    void equalEventsGiveEqualActions() {
        List<List<Recorder.Sent>> runs = List.of(rotation(3), rotation(3));
        assertEquals(runs.get(0), runs.get(1));
    }

    private static List<Recorder.Sent> rotation(long seed) {
        Setup s = new Setup();
        s.seed = seed;
        Recorder r = s.start(up("a", 0, true), up("b", 0, false), up("c", 0, false), up("d", 0, false));
        for (int i = 0; i < 30; i++) {
            r.ask("q" + i, ANY);
            r.pass(7_000);
            r.end("q" + i, Outcome.OK, Role.REPLICA, r.now);
        }
        return r.sent;
    }

    // ---- Settings that change.

    @Test
    void anOpenRequestKeepsItsClassAndAttemptsAndALaterOneHasTheNew() {
        Setup setup = new Setup();
        Recorder r = setup.start(up("a", 0, true), up("b", 0, false), up("c", 1, false));
        r.ask("open", UNSAFE);
        setup.maxAttempts = 1;
        List<Router.RequestClass> classes =
                new java.util.ArrayList<>(setup.settings().classes());
        Router.RequestClass old = classes.get(SAFE_READ);
        classes.add(new Router.RequestClass(
                "new",
                Router.Access.WRITE,
                Router.Idempotency.NON_IDEMPOTENT,
                old.deduplicationScope(),
                0,
                0,
                old.latencyObjectiveUs(),
                old.deadlineUs(),
                1,
                0));
        r.router.onSettings(setup.settings().with(classes, 1));
        r.end("open", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertEquals("b", r.last("open").member());
        r.end("open", Outcome.WRONG_ROLE_OR_STALE, Role.PRIMARY, 0);
        r.ask("later", UNSAFE);
        r.end("later", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertEquals(List.of("later"), r.refused);
        r.ask("of the new class", classes.size() - 1);
        r.end("of the new class", Outcome.RESET);
        assertEquals(List.of("of the new class"), r.failed);
    }

    @Test
    void aWriteThatNothingWasSentForIsRefusedBeforeHalfOfItsTimeWhileNoPrimaryIsKnown() {
        Recorder r = new Setup().start(up("a", 0, true), up("b", 0, false));
        r.list(ListKind.FULL, with(up("a", 0, true), State.DRAINING, 0), up("b", 0, false));
        r.ask("first", KEYED, 0, 2_000_000);
        r.end("first", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        r.ask("w", KEYED, 0, 2_000_000);
        r.pass(800_000);
        assertEquals(List.of(), r.refused);
        r.pass(150_000);
        assertEquals(List.of("w"), r.refused);
        r.pass(1_100_000);
        assertEquals(List.of("w", "first"), r.refused);
    }
}
