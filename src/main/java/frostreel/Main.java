package frostreel;

import frostreel.config.Config;
import frostreel.config.ConfigException;
import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.RejectedExecutionException;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import willowfield.WireAdapter;

/**
 * The command line: {@code serve} is the real pooler, {@code simhost} plays its decisions on the bench's
 * wire, {@code rehearse} goes through serving once, for the class archive that the build makes.
 */
public final class Main {
    private static final Logger LOG = Logger.getLogger(Main.class.getName());

    private Main() {}

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("serve")) {
            serve();
        } else if (args.length == 1 && args[0].equals("simhost")) {
            System.exit(WireAdapter.run(System.in, System.out, System.err));
        } else if (args.length == 1 && args[0].equals("rehearse")) {
            rehearse();
        } else {
            System.err.println("usage: java -jar frostreel.jar serve | simhost | rehearse");
            System.exit(2);
        }
    }

    private static void rehearse() throws IOException {
        try {
            Rehearsal.run();
            System.exit(0);
        } catch (ConfigException | InterruptedException e) {
            System.err.println("frostreel: the rehearsal failed: " + e);
            System.exit(1);
        }
    }

    private static void serve() throws IOException {
        try (InputStream in = Main.class.getResourceAsStream("/logging.properties")) {
            LogManager.getLogManager().readConfiguration(in);
        }
        try {
            Pooler pooler = new Pooler(Config.load(System.getenv()));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> end(pooler), "stop"));
            Hangup.handle(() -> reload(pooler));
        } catch (ConfigException e) {
            System.err.println("frostreel: " + e.getMessage());
            System.exit(2);
        }
    }

    /** On the signal's own thread, as reading a file may block; one at a time, so that the last file wins. */
    private static synchronized void reload(Pooler pooler) {
        try {
            pooler.reload(Config.reload(System.getenv()));
        } catch (ConfigException e) {
            LOG.warning(e.getMessage() + "; the configuration in force is kept");
        } catch (RejectedExecutionException e) {
            LOG.info("stopping: the new configuration is left");
        }
    }

    private static void end(Pooler pooler) {
        // Not by the logger: it is shut down at the same time as this runs.
        System.err.println("frostreel: stopping: clients are served for a little longer");
        try {
            if (!pooler.stop()) {
                System.err.println("frostreel: stopped with clients still connected");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        System.out.println("frostreel: " + pooler.counters());
    }
}
