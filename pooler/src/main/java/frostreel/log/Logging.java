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
 * Configures the log of this process: one line an event on standard error, as text or as JSON. Logging blocks
 * neither on a name server nor on the log's reader.
 */
public final class Logging {
    /** How a line is written. */
    public enum Format {
        /** Level, logger and message, followed by a stack trace where there is one. */
        TEXT,
        /** One JSON object a line. */
        JSON
    }

    private static final String TEXT_PATTERN = "%p %c: %s%e%n";

    /** Where the log manager looks for the host's name; without it, it asks the resolver. */
    private static final String HOST_PROPERTY = "jboss.host.name";

    private static final Path KERNEL_HOST_NAME = Path.of("/proc/sys/kernel/hostname");
    private static final String UNKNOWN_HOST = "localhost";
    /** XNIO's line for each failed accept; the acceptor logs the first failure and the recovery instead. */
    private static final String XNIO_ACCEPT_FAILED = "XNIO008001";

    private static LogQueue queue;

    private Logging() {}

    /** Sets up the log; must run before anything logs, as the JDK chooses its log manager once. */
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
        // Lines of the libraries about their start and end add nothing to this program's own.
        LogContext.getLogContext().getLogger("org.xnio").setLevel(Level.WARNING);
        LogContext.getLogContext().getLogger("org.jboss.threads").setLevel(Level.WARNING);
        LogContext.getLogContext()
                .getLogger("org.xnio.nio")
                .setFilter(entry -> !entry.getMessage().startsWith(XNIO_ACCEPT_FAILED));
    }

    /**
     * Returns the host's name as the kernel has it. Every record holds the name, and the first record would
     * otherwise ask the resolver for it: without a name server that blocks the logging thread for 10 s.
     */
    private static String hostName() {
        try {
            return Files.readString(KERNEL_HOST_NAME).strip();
        } catch (IOException e) {
            return UNKNOWN_HOST;
        }
    }

    /** Returns how many lines were dropped as there were too many, 0 before {@link #install}; from any thread. */
    public static long dropped() {
        return queue == null ? 0 : queue.dropped();
    }

    /** Waits until all that was logged is written, for a short time at most. */
    public static void flush() {
        if (queue != null) {
            queue.flush();
        }
    }

    /** Changes format and level for all lines from now on. */
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
