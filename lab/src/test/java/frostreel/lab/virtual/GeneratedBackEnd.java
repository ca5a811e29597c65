package frostreel.lab.virtual;

import static frostreel.lab.virtual.WireFormat.CANCELLED;
import static frostreel.lab.virtual.WireFormat.CONNECT_FAILED;
import static frostreel.lab.virtual.WireFormat.ERROR;
import static frostreel.lab.virtual.WireFormat.NOT_SENT;
import static frostreel.lab.virtual.WireFormat.OK;
import static frostreel.lab.virtual.WireFormat.REJECTED;
import static frostreel.lab.virtual.WireFormat.RESET;
import static frostreel.lab.virtual.WireFormat.TIMEOUT;
import static frostreel.lab.virtual.WireFormat.WRONG_ROLE_OR_STALE;
import static frostreel.lab.virtual.WireFormat.message;
import static frostreel.lab.virtual.WireFormat.micros;
import static frostreel.lab.virtual.WireFormat.seconds;

import org.json.JSONObject;

/** Carries the attempts and health checks that poolers ask a {@link WireEventGenerator} for to its servers. */
final class GeneratedBackEnd {
    private final GeneratedDeployment deployment;
    private final GeneratedTimeline timeline;
    private final GeneratedClients clients;

    GeneratedBackEnd(GeneratedDeployment deployment, GeneratedClients clients) {
        this.deployment = deployment;
        this.clients = clients;
        timeline = deployment.timeline;
    }

    /** {@code timeoutUs}: 0 for the time that the request has left. */
    void send(GeneratedRequest request, GeneratedServer server, long timeoutUs) {
        GeneratedRequest.Attempt attempt = new GeneratedRequest.Attempt(request, server, timeline.nowUs());
        request.attempts.add(attempt);
        if (request.finished || request.attempts.size() > deployment.caps().getInt("maxAttempts")) {
            timeline.after(1, () -> end(attempt, NOT_SENT, 0));
            return;
        }
        long leftUs = request.expiresUs - timeline.nowUs();
        long waitUs = Math.max(1, timeoutUs > 0 ? Math.min(timeoutUs, leftUs) : leftUs);
        timeline.after(waitUs, () -> end(attempt, TIMEOUT, 0));
        if (!server.up) {
            long refusedUs = server.silent ? micros(deployment.caps().getDouble("connectTimeoutS")) : 400;
            timeline.after(refusedUs, () -> end(attempt, CONNECT_FAILED, 0));
        } else if (server.isFull()) {
            timeline.after(500, () -> end(attempt, REJECTED, 0));
        } else {
            serve(attempt);
        }
    }

    private void serve(GeneratedRequest.Attempt attempt) {
        GeneratedServer server = attempt.server;
        boolean write = deployment.access(attempt.request.category).equals("write");
        if (write ? !server.primary : isTooStale(server, attempt.request)) {
            timeline.after(600, () -> end(attempt, WRONG_ROLE_OR_STALE, mark(server, false)));
            return;
        }
        double objectiveUs =
                deployment.classes().getJSONObject(attempt.request.category).getDouble("onTimeS") * 1e6;
        long workUs = server.begin(objectiveUs / 8, deployment.random);
        int incarnation = server.incarnation;
        timeline.after(workUs, () -> complete(attempt, incarnation, write));
    }

    private void complete(GeneratedRequest.Attempt attempt, int incarnation, boolean write) {
        GeneratedServer server = attempt.server;
        boolean stillRuns = server.incarnation == incarnation && server.up;
        if (stillRuns) {
            server.end();
        }
        boolean answerLost = server.losesAnswers && deployment.random.nextInt(3) == 0;
        boolean fails = deployment.random.nextDouble() < server.errorRate || (write && !server.primary);
        if (!stillRuns) {
            end(attempt, RESET, 0);
        } else if (!answerLost) { // Where it is lost, the attempt's timeout ends it.
            end(attempt, fails ? ERROR : OK, mark(server, write && !fails));
        }
    }

    private boolean isTooStale(GeneratedServer server, GeneratedRequest request) {
        boolean checked = !deployment.familyInfo().getString("serverChecks").equals("silent");
        return checked && server.positionUs(timeline.nowUs()) < requiredPositionUs(request);
    }

    private long requiredPositionUs(GeneratedRequest request) {
        return switch (deployment.access(request.category)) {
            case "bounded" ->
                timeline.nowUs()
                        - micros(deployment
                                .familyInfo()
                                .getJSONArray("lagAllowedS")
                                .getDouble(request.category));
            case "session" -> clients.lastCommitUs(request);
            case "fresh" -> timeline.nowUs() - 1_000;
            default -> 0;
        };
    }

    /** A server's role and position in an answer: in milliseconds, rounded down, but a commit's position up. */
    private long mark(GeneratedServer server, boolean commit) {
        boolean reported = deployment.familyInfo().getBoolean("positions");
        long sinceBaseUs = server.positionUs(timeline.nowUs()) - GeneratedDeployment.BASE_US;
        long positionMs = (sinceBaseUs + (commit ? 999 : 0)) / 1_000;
        return 4 * (commit || reported ? positionMs : 0) + (server.primary ? 1 : 2);
    }

    void cancel(GeneratedRequest.Attempt attempt) {
        timeline.after(1_000, () -> end(attempt, CANCELLED, 0));
    }

    /** {@code mark}: as by {@link #mark}, 0 for none. */
    private void end(GeneratedRequest.Attempt attempt, int outcome, long mark) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        GeneratedRequest request = attempt.request;
        if (outcome == OK) {
            clients.onServed(request);
        }
        JSONObject message = message("Answer")
                .put("xid", request.id)
                .put("leg", attempt.number)
                .put("waitTimeS", seconds(timeline.nowUs() - attempt.sentUs))
                .put("member", attempt.server.id)
                .put("outcome", outcome);
        if (request.finished) {
            message.put("finished", true);
        }
        if (mark > 0) {
            message.put("mark", mark);
        }
        if (mark > 0 && deployment.reports().getString("how").equals("piggyback")) {
            message.put("healthInfo", report(attempt.server));
        }
        request.pooler.accept(message);
    }

    void checkHealth(GeneratedPooler pooler, GeneratedServer server) {
        long tookUs = server.up ? 900 : 300_000;
        timeline.after(tookUs, () -> {
            JSONObject message = message("StatusBack")
                    .put("member", server.id)
                    .put("outcome", server.up ? OK : CONNECT_FAILED)
                    .put("waitTimeS", seconds(tookUs));
            if (server.up && !deployment.reports().getString("how").equals("silent")) {
                message.put("healthInfo", report(server));
            }
            pooler.receive(message);
        });
    }

    private JSONObject report(GeneratedServer server) {
        JSONObject report = new JSONObject();
        for (Object name : deployment.reports().getJSONArray("names")) {
            switch ((String) name) {
                case "x0" ->
                    report.put("x0", seconds(server.positionUs(timeline.nowUs()) - GeneratedDeployment.BASE_US));
                case "x1" -> report.put("x1", server.primary ? 1 : 0);
                case "load_share" -> report.put("load_share", server.utilization());
                case "depth" -> report.put("depth", server.queued());
                default -> report.put((String) name, server.inFlight);
            }
        }
        return report;
    }
}
