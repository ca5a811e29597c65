package frostreel.lab.virtual;

import java.util.SplittableRandom;

/** The faults of a {@link WireEventGenerator}: of servers, poolers and the endpoint list, at random times. */
final class GeneratedFaults {
    private static final long START_US = GeneratedDeployment.START_US + 100_000;
    private static final long MEAN_GAP_US = 700_000;

    private final GeneratedDeployment deployment;
    private final SplittableRandom random;
    private final GeneratedTimeline timeline;
    private final GeneratedPoolers poolers;

    GeneratedFaults(GeneratedDeployment deployment, GeneratedPoolers poolers) {
        this.deployment = deployment;
        this.poolers = poolers;
        random = deployment.random;
        timeline = deployment.timeline;
    }

    /** Schedules the first fault, which in turn schedules its successor until clients stop. */
    void begin() {
        timeline.at(START_US, this::inject);
    }

    private void inject() {
        if (!deployment.isActive()) {
            return;
        }
        timeline.after(random.nextLong(2 * MEAN_GAP_US), this::inject);
        GeneratedServer server = deployment.servers.get(random.nextInt(deployment.servers.size()));
        long lastsUs = 200_000 + random.nextLong(3_000_000);
        switch (random.nextInt(10)) {
            case 0 -> stop(server, false, lastsUs);
            case 1 -> stop(server, true, lastsUs);
            case 2 -> drain(server, lastsUs);
            case 3 -> stopFirstPrimary(lastsUs);
            case 4 ->
                during(lastsUs, () -> server.replayRate(0.1, timeline.nowUs()), () -> server.catchUp(timeline.nowUs()));
            case 5 -> during(lastsUs, () -> server.slowdown = 6, () -> server.slowdown = 1);
            case 6 -> during(lastsUs, () -> server.errorRate = 0.4, () -> server.errorRate = 0);
            case 7 -> during(lastsUs, () -> server.losesAnswers = true, () -> server.losesAnswers = false);
            case 8 -> poolers.restartOne();
            default -> poolers.sendFullList(poolers.drawOne(), "total");
        }
    }

    private void during(long lastsUs, Runnable begin, Runnable end) {
        begin.run();
        timeline.after(lastsUs, end);
    }

    private void stopFirstPrimary(long awayUs) {
        deployment.servers.stream()
                .filter(server -> server.primary && server.up)
                .findFirst()
                .ifPresent(server -> stop(server, true, awayUs));
    }

    private void stop(GeneratedServer server, boolean silent, long awayUs) {
        if (!server.up) {
            return;
        }
        boolean wasPrimary = server.primary;
        server.stop(silent, timeline.nowUs());
        poolers.publish(server);
        timeline.after(awayUs, () -> {
            server.start(timeline.nowUs());
            poolers.publish(server);
        });
        if (wasPrimary) {
            timeline.after(300_000 + random.nextLong(2_000_000), () -> elect(server.group));
        }
    }

    private void drain(GeneratedServer server, long awayUs) {
        if (server.up && !server.draining) {
            server.draining = true;
            poolers.publish(server);
            timeline.after(1_200_000, () -> {
                server.draining = false;
                stop(server, false, awayUs);
            });
        }
    }

    /** Makes the most up-to-date running replica primary; retries where none runs. */
    private void elect(int group) {
        GeneratedServer best = null;
        for (GeneratedServer server : deployment.servers) {
            if (server.group == group && server.primary && server.up) {
                return;
            }
            boolean newer = best == null || server.positionUs(timeline.nowUs()) > best.positionUs(timeline.nowUs());
            best = server.group == group && server.up && newer ? server : best;
        }
        if (best == null) {
            timeline.after(500_000, () -> elect(group));
        } else {
            best.primary = true;
            poolers.publish(best);
        }
    }
}
