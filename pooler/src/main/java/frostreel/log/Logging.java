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
 * Configures the log of this process: one line per event on standard error, as text or as JSON. Logging blocks
 * neither on a name server nor on the reader of the log.
 */
public final class Logging {
    /** Format of a line. */
    public enum Format {
        /** Level, logger and message, followed by a stack trace if there is one. */
        TEXT,
        /** One JSON object per line. */
        JSON
    }

    private static final String TEXT_PATTERN = "%p %c: %s%e%n";

    /**
     * The system property from which the log manager takes the host name; if it is unset, it queries the resolver.
     */
    private static final String HOST_PROPERTY = "jboss.host.name";

    private static final Path KERNEL_HOST_NAME = Path.of("/proc/sys/kernel/hostname");
    private static final String UNKNOWN_HOST = "localhost";
    /** Id of XNIO's line for each failed accept; the acceptor logs the first failure and the recovery instead. */
    private static final String XNIO_ACCEPT_FAILED = "XNIO008001";

    private static LogQueue queue;

    private Logging() {}

    /** Sets up the log; must be called before anything is logged, as the JDK chooses its log manager only once. */
    public static void install() {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        if (System.getProperty(HOST_PROPERTY) == null) {
            System.setProperty(HOST_PROPERTY, hostName());
        }
        Logger root = LogContext.getLogContext().getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        queue = new LogQueue(new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, formatter(Format.TEXT)));
        root.addHandler(queue);
        root.setLevel(Level.INFO);
        // The startup and shutdown messages of the libraries add nothing to those of this program.
        LogContext.getLogContext().getLogger("org.xnio").setLevel(Level.WARNING);
        LogContext.getLogContext().getLogger("org.jboss.threads").setLevel(Level.WARNING);
        LogContext.getLogContext()
                .getLogger("org.xnio.nio")
                .setFilter(entry -> !entry.getMessage().startsWith(XNIO_ACCEPT_FAILED));
    }

    /**
     * Returns the host name from the kernel. Each record contains it, and the first record would otherwise query the
     * resolver, which blocks the logging thread for 10 s without a name server.
     */
    private static String hostName() {
        try {
            return Files.readString(KERNEL_HOST_NAME).strip();
        } catch (IOException e) {
            return UNKNOWN_HOST;
        }
    }

    /**
     * Returns the number of lines dropped by {@link LogQueue}, 0 before {@link #install}; may be called from any
     * thread.
     */
    public static long dropped() {
        return queue == null ? 0 : queue.dropped();
    }

    /** Waits until all logged lines are written, for at most 200 ms. */
    public static void flush() {
        if (queue != null) {
            queue.flush();
        }
    }

    /** Changes the format and level of all later lines. */
    public static void configure(Format format, Level level) {
        Logger root = LogContext.getLogContext().getLogger("");
        for (Handler handler : root.getHandlers()) {
            handler.setFormatter(formatter(format));
        }
        root.setLevel(level);
    }

    private static ExtFormatter formatter(Format format) {
        return format == Format.JSON ? new JsonFormatter() : new PatternFormatter(TEXT_PATTERN);
    }
}
