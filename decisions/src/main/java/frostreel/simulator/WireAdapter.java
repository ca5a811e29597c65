package frostreel.simulator;

import frostreel.routing.ChainRouter;
import frostreel.wire.MalformedMessageException;
import frostreel.wire.MessageFields;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.json.JSONException;
import org.json.JSONObject;
import org.json.JSONParserConfiguration;
import org.json.JSONTokener;

/**
 * Adapter for the simulator's protocol. Reads batches of events, one JSON object per line, passes them to one router
 * per simulated instance, and writes the routers' actions at the end of the batch. Contains no routing logic.
 */
public final class WireAdapter {
    private static final int SUCCESS = 0;
    private static final int FAILURE = 1;
    private static final int INPUT_BUFFER_BYTES = 1 << 16;
    private static final int OUTPUT_BUFFER_CHARS = 1 << 16;
    private static final int LINE_BUFFER_BYTES = 1 << 12;
    private static final JSONParserConfiguration STRICT_JSON = new JSONParserConfiguration().withStrictMode(true);

    private final StringBuilder out = new StringBuilder(OUTPUT_BUFFER_CHARS);
    private final SimulatedInstances instances;
    private final OutputStream output;
    private long nowUs;
    private boolean inBatch;

    private WireAdapter(SimulatedInstance.RouterFactory factory, OutputStream output) {
        this.output = output;
        instances = new SimulatedInstances(factory, out);
    }

    /**
     * Processes batches until the end of the input.
     *
     * @param in events
     * @param out actions, written and flushed once per batch
     * @param err receives one line that describes the error if the input is malformed
     * @return the exit status: 0, or 1 after malformed input or an exception in a router
     */
    public static int run(InputStream in, PrintStream out, PrintStream err) throws IOException {
        return run(in, out, err, ChainRouter::new);
    }

    static int run(InputStream in, PrintStream out, PrintStream err, SimulatedInstance.RouterFactory factory)
            throws IOException {
        return new WireAdapter(factory, out).serve(new BufferedInputStream(in, INPUT_BUFFER_BYTES), err);
    }

    private int serve(InputStream in, PrintStream err) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(LINE_BUFFER_BYTES);
        long lineNumber = 0;
        while (readLine(in, line)) {
            lineNumber++;
            if (line.size() == 0) {
                continue;
            }
            try {
                handle(decode(line.toByteArray()));
            } catch (MalformedMessageException e) {
                return reportMalformed(err, lineNumber, e.getMessage());
            } catch (JSONException e) {
                return reportMalformed(err, lineNumber, "invalid JSON: " + e.getMessage());
            }
            if (!inBatch && instances.routerFailed()) {
                return FAILURE;
            }
        }
        if (inBatch) {
            return reportMalformed(err, lineNumber + 1, "input ended inside a batch, before a 't' of EofBatch");
        }
        return SUCCESS;
    }

    private static int reportMalformed(PrintStream err, long lineNumber, String description) {
        err.println("frostreel: line " + lineNumber + ": " + description);
        return FAILURE;
    }

    private void handle(MessageFields message) throws MalformedMessageException, IOException {
        String type = message.text("t");
        if (type.equals("Clock")) {
            beginBatch(message);
        } else if (!inBatch) {
            throw new MalformedMessageException("field 't': " + type + " outside a batch");
        } else if (type.equals("EofBatch")) {
            endBatch();
        } else if (!instances.routerFailed()) {
            instances.event(type, nowUs, message);
        }
    }

    private void beginBatch(MessageFields message) throws MalformedMessageException {
        if (inBatch) {
            throw new MalformedMessageException("field 't': Clock inside a batch");
        }
        nowUs = message.microsFromSeconds("timeS");
        inBatch = true;
    }

    private void endBatch() throws IOException {
        inBatch = false;
        out.append("{\"t\":\"Ack\"}\n");
        output.write(out.toString().getBytes(StandardCharsets.UTF_8));
        output.flush();
        out.setLength(0);
    }

    /** Reads up to the next line feed, which is discarded; returns false at the end of the input. */
    private static boolean readLine(InputStream in, ByteArrayOutputStream line) throws IOException {
        line.reset();
        int next;
        while ((next = in.read()) >= 0) {
            if (next == '\n') {
                return true;
            }
            line.write(next);
        }
        return line.size() > 0;
    }

    private static MessageFields decode(byte[] bytes) throws MalformedMessageException {
        JSONTokener tokens = new JSONTokener(new String(bytes, StandardCharsets.UTF_8), STRICT_JSON);
        Object value = tokens.nextValue();
        if (!(value instanceof JSONObject object) || tokens.nextClean() != 0) {
            throw new MalformedMessageException("field 't': line is not a single JSON object");
        }
        return new MessageFields(object.toMap());
    }
}
