package frostreel.lab.processes;

import frostreel.routing.Router;
import frostreel.routing.Router.RequestClass;
import java.nio.charset.StandardCharsets;

/** Builds the statements of the load, and keeps the time at which each session's last write was answered. */
final class LoadStatements {
    private final int groups;
    private final long[] lastWriteMs;
    private long lastId;

    LoadStatements(int sessions, int groups) {
        this.groups = groups;
        lastWriteMs = new long[sessions];
    }

    /** The zero-terminated text of the request's next query; gives the request a new id. */
    byte[] next(LoadRequest request) {
        RequestClass requestClass = request.requestClass();
        request.id = Long.toString(++lastId, Character.MAX_RADIX);
        String key = "s" + request.session;
        String sql = requestClass.access() == Router.Access.WRITE
                ? "INSERT INTO records (k, v) VALUES ('" + key + "', '\\x00') RETURNING v"
                : "SELECT v FROM records WHERE k = '" + key + "'";
        return (sql + attributes(request, requestClass) + "\0").getBytes(StandardCharsets.US_ASCII);
    }

    /** The comment that states the request's class, deadline and session to the pooler. */
    private String attributes(LoadRequest request, RequestClass requestClass) {
        StringBuilder comment = new StringBuilder(" /* id=")
                .append(request.id)
                .append(",c=")
                .append(requestClass.name())
                .append(",d=")
                .append(requestClass.deadlineUs() / 1000);
        if (requestClass.idempotency() == Router.Idempotency.KEYED) {
            comment.append(",k=").append(request.id);
        }
        comment.append(",cluster=").append(request.session % groups);
        if (requestClass.access() == Router.Access.SESSION && lastWriteMs[request.session] > 0) {
            comment.append(",after=").append(lastWriteMs[request.session]);
        }
        return comment.append(" */").toString();
    }

    void recordWrite(LoadRequest request, long nowUs) {
        lastWriteMs[request.session] = nowUs / 1000;
    }
}
