package frostreel.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.jboss.logmanager.ExtFormatter;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Owns the program's log: one line an event, to standard error, as text or as JSON. */
public final class Logging {
    /** How a line is written; TEXT is level, logger, text, and a trace where there is one. */
    public enum Format { TEXT, JSON }

    private static final String TEXT = "%p %c: %s%e%n";

    private Logging() {}

    /** Must come before anything that logs: the JDK asks for its log manager once. */
    public static void install() {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        Logger root = LogContext.getLogContext().getLogger("");
        for (Handler h : root.getHandlers()) {
            root.removeHandler(h);
        }
        root.addHandler(new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, formatter(Format.TEXT)));
        root.setLevel(Level.INFO);
        // Their starts and ends say nothing that ours do not.
        LogContext.getLogContext().getLogger("org.xnio").setLevel(Level.WARNING);
        LogContext.getLogContext().getLogger("org.jboss.threads").setLevel(Level.WARNING);
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
