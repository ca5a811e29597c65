package frostreel.lab.virtual;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.json.JSONObject;

/** A client's request of {@link GeneratedClients}, with its attempts and whether it has ended. */
final class GeneratedRequest {
    /** A request sent to a server; it ends once. */
    static final class Attempt {
        final GeneratedRequest request;
        final int number;
        final GeneratedServer server;
        final long sentUs;
        boolean ended;

        Attempt(GeneratedRequest request, GeneratedServer server, long sentUs) {
            this.request = request;
            this.server = server;
            this.sentUs = sentUs;
            number = request.attempts.size();
        }
    }

    /** Takes messages to the pooler that got the request, and drops them once it is down. */
    final Consumer<JSONObject> pooler;

    final String id;
    final int category;
    final int group;
    final int session;
    final long expiresUs;
    final List<Attempt> attempts = new ArrayList<>();
    boolean finished;

    GeneratedRequest(Consumer<JSONObject> pooler, String id, int category, int group, int session, long expiresUs) {
        this.pooler = pooler;
        this.id = id;
        this.category = category;
        this.group = group;
        this.session = session;
        this.expiresUs = expiresUs;
    }
}
