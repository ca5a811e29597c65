package frostreel.log;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.jboss.logmanager.ExtFormatter;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.ConsoleHandler;

/**
 * Owns the program's log: one line an event, to standard error, as text or as JSON. Whoever logs waits for
 * nothing: neither for a name server nor for the log's reader.
 */
public final class Logging {
    /** How a line is written; TEXT is level, logger, text, and a trace where there is one. */
    public enum Format {
        TEXT,
        JSON
    }

    private static final String TEXT = "%p %c: %s%e%n";

    /** By which the log manager knows the host's name; without it, it asks the resolver. */
    private static final String HOST_PROPERTY = "jboss.host.name";

    private static final Path HOST_NAME = Path.of("/proc/sys/kernel/hostname");
    private static final String UNKNOWN_HOST = "localhost";
    /** XNIO's line for each failed accept; the acceptor tells of the first one and of their end. */
    private static final String ACCEPT_FAILED = "XNIO008001";

    private static LogQueue queue;

    private Logging() {}

    /** Must come before anything that logs: the JDK asks for its log manager once. */
    public static void install() {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        if (System.getProperty(HOST_PROPERTY) == null) {
            System.setProperty(HOST_PROPERTY, hostName());
        }
        Logger root = LogContext.getLogContext().getLogger("");
        for (Handler h : root.getHandlers()) {
            root.removeHandler(h);
        }
        queue = new LogQueue(new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, formatter(Format.TEXT)));
        root.addHandler(queue);
        root.setLevel(Level.INFO);
        // Their starts and ends say nothing that ours do not.
        LogContext.getLogContext().getLogger("org.xnio").setLevel(Level.WARNING);
        LogContext.getLogContext().getLogger("org.jboss.threads").setLevel(Level.WARNING);
        LogContext.getLogContext()
                .getLogger("org.xnio.nio")
                .setFilter(entry -> !entry.getMessage().startsWith(ACCEPT_FAILED));
    }

    /**
     * The host's name, as the kernel has it. Each record holds it, and the first record would otherwise ask
     * the resolver for it: where no name server answers, that takes 10 s, on whichever thread logs first.
     */
    private static String hostName() {
        try {
            return Files.readString(HOST_NAME).strip();
        } catch (IOException e) {
            return UNKNOWN_HOST;
        }
    }

    /** How many lines were dropped, as there were too many; 0 before {@link #install}. From any thread. */
    public static long dropped() {
        return queue == null ? 0 : queue.dropped();
    }

    /** Waits a little until what was logged is written. */
    public static void flush() {
        if (queue != null) {
            queue.flush();
        }
    }

    /** Goes over to another form or level; lines already written stay as they are. */
    public static void configure(Format format, Level level) {
        Logger root = LogContext.getLogContext().getLogger("");
        for (Handler h : root.getHandlers()) {
            h.setFormatter(formatter(format));
        }
        root.setLevel(level);
    }

    private static ExtFormatter formatter(Format format) {
        return format == Format.JSON ? new JsonFormatter() : new PatternFormatter(TEXT);
    }
}
